package org.magnoliavane.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import org.magnoliavane.WorkerRole;

/**
 * Decides how many workers of a pool should read prompts and how many should decode. The part that is used most limits the
 * pool; a worker moves to it when that lowers the higher of the two utilizations.
 *
 * <p>Not thread-safe.
 */
public final class RoleBalancer {
    /** Time constant of the average of the samples: longer than a prefill, shorter than a burst. */
    private static final double SMOOTHING_MILLIS = 3000;

    /** Utilization below which little waits, so that a change of roles gains nothing. */
    private static final double MIN_UTILIZATION = 0.7;

    /** Least drop of the higher utilization that is worth the seconds in which a worker changes its role. */
    private static final double MIN_GAIN = 0.1;

    /** The same for a change to prefill: a decode worker first finishes its answers, which takes seconds more. */
    private static final double MIN_GAIN_TO_PREFILL = 0.2;

    /** Part of the prefill workers that must be idle: prompts come in groups, and few workers make them wait for long. */
    private static final double PREFILL_RESERVE = 0.5;

    /** Workers of a role that are kept, so that one may fail. */
    private static final int MIN_WORKERS = 2;

    /** One of this many workers changes its role at a time; those that change do no work. */
    private static final int WORKERS_PER_CHANGE = 12;

    /** Time after which a worker that is gone counts as gone; one that has crashed is often back before. */
    private static final long RETURN_MILLIS = 6000;

    private final Deque<Counts> counts = new ArrayDeque<>();
    private double prefillBusy;
    private double decodeBusy;
    private long sampledMillis = Long.MIN_VALUE;

    /**
     * Takes a sample of the load.
     *
     * @param prefill the number of prefill workers that have work
     * @param decode the memory in use at decode workers, in units of the usable memory of one
     * @param nowMillis the current time
     */
    public void addSample(double prefill, double decode, long nowMillis) {
        double old = sampledMillis == Long.MIN_VALUE ? 0 : Math.exp((sampledMillis - nowMillis) / SMOOTHING_MILLIS);
        prefillBusy = old * prefillBusy + (1 - old) * prefill;
        decodeBusy = old * decodeBusy + (1 - old) * decode;
        sampledMillis = nowMillis;
    }

    /** Forgets which workers were there, after an order has changed their roles. */
    public void clearWorkerCounts() {
        counts.clear();
    }

    /**
     * Decides on a change. Workers that were there a moment ago still count.
     *
     * @param prefillNow the number of prefill workers
     * @param decodeNow the number of decode workers
     * @param nowMillis the current time
     * @return the change; empty when the roles are as they should be
     */
    public Optional<Change> decide(int prefillNow, int decodeNow, long nowMillis) {
        counts.removeIf(c -> nowMillis - c.atMillis > RETURN_MILLIS);
        counts.add(new Counts(prefillNow, decodeNow, nowMillis));
        int prefillWorkers = counts.stream().mapToInt(Counts::prefill).max().orElse(prefillNow);
        int decodeWorkers = counts.stream().mapToInt(Counts::decode).max().orElse(decodeNow);
        double present = utilization(prefillWorkers, decodeWorkers);
        if (present < MIN_UTILIZATION) {
            return Optional.empty();
        }
        int most = Math.max(1, (prefillWorkers + decodeWorkers) / WORKERS_PER_CHANGE);
        int best = 0;
        double least = Double.MAX_VALUE;
        for (int toDecode = -most; toDecode <= most; toDecode++) {
            int prefill = prefillWorkers - toDecode;
            int decode = decodeWorkers + toDecode;
            if (toDecode == 0 || Math.min(prefillNow - toDecode, decodeNow + toDecode) < MIN_WORKERS) {
                continue;
            }
            double utilization = utilization(prefill, decode);
            double gain = present - utilization;
            if (gain >= (toDecode > 0 ? MIN_GAIN : MIN_GAIN_TO_PREFILL) && utilization < least) {
                least = utilization;
                best = toDecode;
            }
        }
        if (best == 0) {
            return Optional.empty();
        }
        return Optional.of(new Change(best > 0 ? WorkerRole.DECODE : WorkerRole.PREFILL, Math.abs(best)));
    }

    private double utilization(int prefillWorkers, int decodeWorkers) {
        double prefill = prefillBusy / Math.max(PREFILL_RESERVE, prefillWorkers - PREFILL_RESERVE);
        return Math.max(prefill, decodeBusy / Math.max(1, decodeWorkers));
    }

    @Override
    public String toString() {
        return String.format("prefill_busy=%.2f decode_busy=%.2f", prefillBusy, decodeBusy);
    }

    private record Counts(int prefill, int decode, long atMillis) {}

    /**
     * A change of roles.
     *
     * @param to the role that more workers should have
     * @param workers how many
     */
    public record Change(WorkerRole to, int workers) {}
}
