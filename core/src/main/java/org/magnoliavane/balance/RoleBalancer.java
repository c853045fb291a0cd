package org.magnoliavane.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import org.magnoliavane.WorkerRole;

/**
 * Decides how many workers of a pool should run prefill and how many should run decode. The role with the higher
 * utilization limits the pool; workers move to it if that lowers the higher of the two utilizations.
 *
 * <p>Not thread-safe.
 */
public final class RoleBalancer {
    /** Time constant of the moving average of the samples: longer than a prefill, shorter than a burst. */
    private static final double AVERAGE_TIME_CONSTANT_MILLIS = 3000;

    /** Utilization below which few requests wait, so that a role change has no benefit. */
    private static final double MIN_UTILIZATION = 0.7;

    /** Smallest decrease of the higher utilization that outweighs the seconds that a role change takes. */
    private static final double MIN_GAIN = 0.1;

    /** The same for a change to prefill: a decode worker first finishes its active streams, which takes seconds longer. */
    private static final double MIN_GAIN_TO_PREFILL = 0.2;

    /**
     * Number of prefill workers that are kept idle on average. Prompts arrive in groups, and with few workers they would
     * wait for long.
     */
    private static final double IDLE_PREFILL_WORKERS = 0.5;

    /** Smallest number of workers of each role, so that one of them may fail. */
    private static final int MIN_WORKERS_PER_ROLE = 2;

    /** One in this many workers changes its role at a time, because a worker does no work during the change. */
    private static final int WORKERS_PER_CHANGE = 12;

    /**
     * Number of workers from which a pool moves surplus prefill workers early. In a smaller one, a single worker is a large
     * part of a role, and the gain in utilization decides alone.
     */
    private static final int LARGE_POOL_WORKERS = 24;

    /** Multiple of the average prefill load that the remaining prefill workers must still bear; bursts are up to 2.3 times. */
    private static final double PREFILL_BURST_FACTOR = 2.5;

    /** Prefill workers that are kept beyond that, so that one may fail. */
    private static final int SPARE_PREFILL_WORKERS = 1;

    /**
     * Decode utilization from which surplus prefill workers move to decode: a burst of 2.3 times the load would fill the decode
     * memory, and a change takes longer than a burst.
     */
    private static final double MIN_DECODE_UTILIZATION_FOR_SURPLUS = 0.45;

    /** Largest share of the prefill workers that moves at a time. */
    private static final double MAX_SURPLUS_SHARE = 0.5;

    /** Time for which a missing worker still counts; a crashed worker has often restarted within it. */
    private static final long RESTART_GRACE_MILLIS = 6000;

    private final Deque<WorkerCounts> recentCounts = new ArrayDeque<>();
    private double busyPrefillWorkers;
    private double busyDecodeWorkers;
    private long lastSampleMillis = Long.MIN_VALUE;

    /**
     * Adds a sample of the load.
     *
     * @param prefill the number of busy prefill workers
     * @param decode the sum of the utilizations of all decode workers, each from 0 to 1
     * @param nowMillis the current time, in milliseconds
     */
    public void addSample(double prefill, double decode, long nowMillis) {
        double oldWeight = lastSampleMillis == Long.MIN_VALUE
                ? 0
                : Math.exp((lastSampleMillis - nowMillis) / AVERAGE_TIME_CONSTANT_MILLIS);
        busyPrefillWorkers = oldWeight * busyPrefillWorkers + (1 - oldWeight) * prefill;
        busyDecodeWorkers = oldWeight * busyDecodeWorkers + (1 - oldWeight) * decode;
        lastSampleMillis = nowMillis;
    }

    /** Discards the recent numbers of workers, after an order has changed their roles. */
    public void clearWorkerCounts() {
        recentCounts.clear();
    }

    /**
     * Decides on a role change. Workers that disappeared within the last 6 s still count.
     *
     * @param prefillNow the current number of prefill workers
     * @param decodeNow the current number of decode workers
     * @param nowMillis the current time, in milliseconds
     * @return the change; empty if no change is worthwhile
     */
    public Optional<Change> decide(int prefillNow, int decodeNow, long nowMillis) {
        recentCounts.removeIf(c -> nowMillis - c.atMillis > RESTART_GRACE_MILLIS);
        recentCounts.add(new WorkerCounts(prefillNow, decodeNow, nowMillis));
        int prefillWorkers =
                recentCounts.stream().mapToInt(WorkerCounts::prefill).max().orElse(prefillNow);
        int decodeWorkers =
                recentCounts.stream().mapToInt(WorkerCounts::decode).max().orElse(decodeNow);
        int surplus = countSurplusPrefillWorkers(prefillNow, decodeWorkers);
        Optional<Change> change = decideByGain(prefillWorkers, decodeWorkers, prefillNow, decodeNow);
        boolean movesMore = change.isEmpty()
                || change.get().to() == WorkerRole.DECODE && change.get().workers() < surplus;
        return surplus > 0 && movesMore ? Optional.of(new Change(WorkerRole.DECODE, surplus)) : change;
    }

    /** Counts the prefill workers of a large pool that prefill does not need in a burst either, while decode memory is in use. */
    private int countSurplusPrefillWorkers(int prefillWorkers, int decodeWorkers) {
        boolean isLarge = prefillWorkers + decodeWorkers >= LARGE_POOL_WORKERS;
        if (!isLarge || busyDecodeWorkers < MIN_DECODE_UTILIZATION_FOR_SURPLUS * decodeWorkers) {
            return 0;
        }
        int needed = SPARE_PREFILL_WORKERS + (int) Math.ceil(PREFILL_BURST_FACTOR * busyPrefillWorkers);
        int surplus = prefillWorkers - Math.max(MIN_WORKERS_PER_ROLE, needed);
        return Math.max(0, Math.min(surplus, (int) (MAX_SURPLUS_SHARE * prefillWorkers)));
    }

    private Optional<Change> decideByGain(int prefillWorkers, int decodeWorkers, int prefillNow, int decodeNow) {
        double currentUtilization = computeUtilization(prefillWorkers, decodeWorkers);
        if (currentUtilization < MIN_UTILIZATION) {
            return Optional.empty();
        }
        int maxChange = Math.max(1, (prefillWorkers + decodeWorkers) / WORKERS_PER_CHANGE);
        int bestToDecode = 0;
        double lowestUtilization = Double.MAX_VALUE;
        for (int toDecode = -maxChange; toDecode <= maxChange; toDecode++) {
            int prefill = prefillWorkers - toDecode;
            int decode = decodeWorkers + toDecode;
            if (toDecode == 0 || Math.min(prefillNow - toDecode, decodeNow + toDecode) < MIN_WORKERS_PER_ROLE) {
                continue;
            }
            double utilization = computeUtilization(prefill, decode);
            double gain = currentUtilization - utilization;
            if (gain >= (toDecode > 0 ? MIN_GAIN : MIN_GAIN_TO_PREFILL) && utilization < lowestUtilization) {
                lowestUtilization = utilization;
                bestToDecode = toDecode;
            }
        }
        if (bestToDecode == 0) {
            return Optional.empty();
        }
        return Optional.of(
                new Change(bestToDecode > 0 ? WorkerRole.DECODE : WorkerRole.PREFILL, Math.abs(bestToDecode)));
    }

    private double computeUtilization(int prefillWorkers, int decodeWorkers) {
        double prefill = busyPrefillWorkers / Math.max(IDLE_PREFILL_WORKERS, prefillWorkers - IDLE_PREFILL_WORKERS);
        return Math.max(prefill, busyDecodeWorkers / Math.max(1, decodeWorkers));
    }

    @Override
    public String toString() {
        return String.format("prefill_busy=%.2f decode_busy=%.2f", busyPrefillWorkers, busyDecodeWorkers);
    }

    private record WorkerCounts(int prefill, int decode, long atMillis) {}

    /**
     * A role change.
     *
     * @param to the new role
     * @param workers the number of workers that change to it
     */
    public record Change(WorkerRole to, int workers) {}
}
