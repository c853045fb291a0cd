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
public final class RoleBalance {
    /** Time constant of the average of the samples: longer than a prefill, shorter than a burst. */
    private static final double AVERAGE_TIME_CONSTANT_MILLIS = 3000;

    /** Utilization below which little waits, so that a change of roles gains nothing. */
    private static final double MIN_UTILIZATION = 0.7;

    /** Least drop of the higher utilization that is worth the seconds in which a worker changes its role. */
    private static final double MIN_GAIN = 0.1;

    /** The same for a change to prefill: a decode worker first finishes its answers, which takes seconds more. */
    private static final double MIN_GAIN_TO_PREFILL = 0.2;

    /** Part of the prefill workers that must be idle: prompts come in groups, and few workers make them wait for long. */
    private static final double IDLE_PREFILL_WORKERS = 0.5;

    /** Workers of a role that are kept, so that one may fail. */
    private static final int MIN_WORKERS_PER_ROLE = 2;

    /** One of this many workers changes its role at a time; those that change do no work. */
    private static final int WORKERS_PER_CHANGE = 12;

    /** Time after which a worker that is gone counts as gone; one that has crashed is often back before. */
    private static final long RESTART_GRACE_MILLIS = 6000;

    private final Deque<WorkerCounts> recentCounts = new ArrayDeque<>();
    private double busyPrefillWorkers;
    private double decodeMemoryInUse;
    private long lastSampleMillis = Long.MIN_VALUE;

    /**
     * Takes a sample of the load.
     *
     * @param prefill the number of prefill workers that have work
     * @param decode the memory in use at decode workers, in units of the usable memory of one
     * @param nowMillis the current time
     */
    public void sample(double prefill, double decode, long nowMillis) {
        double old = lastSampleMillis == Long.MIN_VALUE
                ? 0
                : Math.exp((lastSampleMillis - nowMillis) / AVERAGE_TIME_CONSTANT_MILLIS);
        busyPrefillWorkers = old * busyPrefillWorkers + (1 - old) * prefill;
        decodeMemoryInUse = old * decodeMemoryInUse + (1 - old) * decode;
        lastSampleMillis = nowMillis;
    }

    /** Forgets which workers were there, after an order has changed their roles. */
    public void forgetCounts() {
        recentCounts.clear();
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
        recentCounts.removeIf(c -> nowMillis - c.atMillis > RESTART_GRACE_MILLIS);
        recentCounts.add(new WorkerCounts(prefillNow, decodeNow, nowMillis));
        int prefillWorkers =
                recentCounts.stream().mapToInt(WorkerCounts::prefill).max().orElse(prefillNow);
        int decodeWorkers =
                recentCounts.stream().mapToInt(WorkerCounts::decode).max().orElse(decodeNow);
        double present = computeUtilization(prefillWorkers, decodeWorkers);
        if (present < MIN_UTILIZATION) {
            return Optional.empty();
        }
        int most = Math.max(1, (prefillWorkers + decodeWorkers) / WORKERS_PER_CHANGE);
        int best = 0;
        double least = Double.MAX_VALUE;
        for (int toDecode = -most; toDecode <= most; toDecode++) {
            int prefill = prefillWorkers - toDecode;
            int decode = decodeWorkers + toDecode;
            if (toDecode == 0 || Math.min(prefillNow - toDecode, decodeNow + toDecode) < MIN_WORKERS_PER_ROLE) {
                continue;
            }
            double utilization = computeUtilization(prefill, decode);
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

    private double computeUtilization(int prefillWorkers, int decodeWorkers) {
        double prefill = busyPrefillWorkers / Math.max(IDLE_PREFILL_WORKERS, prefillWorkers - IDLE_PREFILL_WORKERS);
        return Math.max(prefill, decodeMemoryInUse / Math.max(1, decodeWorkers));
    }

    @Override
    public String toString() {
        return String.format("prefill_busy=%.2f decode_busy=%.2f", busyPrefillWorkers, decodeMemoryInUse);
    }

    private record WorkerCounts(int prefill, int decode, long atMillis) {}

    /**
     * A change of roles.
     *
     * @param to the role that more workers should have
     * @param workers how many
     */
    public record Change(WorkerRole to, int workers) {}
}
