package org.magnoliavane.balance;

import java.util.Arrays;

/**
 * Limits the retries and hedged requests of a service to a share of its requests over a sliding window, plus a fixed
 * allowance that all nodes share.
 *
 * <p>Thread-safe.
 */
public final class RetryBudget {
    private static final int BUCKETS = 20;

    /** Share of the budget that is used; the rest covers requests that network delays shift into another window. */
    private static final double USABLE_SHARE = 0.8;

    private final double ratio;
    private final double allowance;
    private final long bucketMillis;
    private final long fullFromMillis;
    private final long[] requests = new long[BUCKETS];
    private final long[] extraRequests = new long[BUCKETS];
    private long newestBucket;

    /**
     * Creates a budget.
     *
     * @param ratio the number of extra requests that each request of a caller adds to the budget
     * @param allowance the number of further extra requests in a window, for all nodes together
     * @param windowMillis the length of the window, in milliseconds
     */
    public RetryBudget(double ratio, double allowance, long windowMillis) {
        this(ratio, allowance, windowMillis, Long.MIN_VALUE);
    }

    private RetryBudget(double ratio, double allowance, long windowMillis, long fullFromMillis) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
        this.fullFromMillis = fullFromMillis;
    }

    /**
     * Creates a budget of a process that has just started. An earlier run of its node may have spent its share of the allowance
     * in the same window, so only the reserve of the allowance may be used until a window has passed.
     *
     * @param ratio the number of extra requests that each request of a caller adds to the budget
     * @param allowance the number of further extra requests in a window, for all nodes together
     * @param windowMillis the length of the window, in milliseconds
     * @param startMillis the start time of the process, in milliseconds
     * @return the budget
     */
    public static RetryBudget startedAt(double ratio, double allowance, long windowMillis, long startMillis) {
        return new RetryBudget(ratio, allowance, windowMillis, startMillis + windowMillis);
    }

    /**
     * Counts a request of a caller.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void countRequest(long nowMillis) {
        requests[advanceTo(nowMillis)]++;
    }

    /**
     * Acquires one retry or hedged request, if the budget allows it.
     *
     * @param nowMillis the current time, in milliseconds
     * @param nodes the number of nodes that share the allowance, at least 1
     * @return false if the budget is exhausted
     */
    public synchronized boolean tryAcquire(long nowMillis, int nodes) {
        int bucket = advanceTo(nowMillis);
        double allowanceShare = nowMillis < fullFromMillis ? 1 - USABLE_SHARE : USABLE_SHARE;
        double limit =
                USABLE_SHARE * ratio * Arrays.stream(requests).sum() + allowanceShare * allowance / Math.max(1, nodes);
        if (Arrays.stream(extraRequests).sum() + 1 > limit) {
            return false;
        }
        extraRequests[bucket]++;
        return true;
    }

    private int advanceTo(long nowMillis) {
        long bucket = nowMillis / bucketMillis;
        long steps = Math.min(BUCKETS, bucket - newestBucket);
        for (long i = 1; i <= steps; i++) {
            int index = (int) Math.floorMod(newestBucket + i, (long) BUCKETS);
            requests[index] = 0;
            extraRequests[index] = 0;
        }
        newestBucket = Math.max(newestBucket, bucket);
        return (int) Math.floorMod(newestBucket, (long) BUCKETS);
    }
}
