package org.magnoliavane.balance;

import java.util.Arrays;

/**
 * Limits how many extra sends a service gets, as a share of its requests over a sliding window plus a fixed allowance
 * that all nodes share.
 *
 * <p>Thread-safe.
 */
public final class RetryBudget {
    private static final int BUCKETS = 20;

    /** Share of the budget that is used, so that delays on the way do not carry the sum over the limit. */
    private static final double USABLE_SHARE = 0.8;

    private final double ratio;
    private final double allowance;
    private final long bucketMillis;
    private final long[] requests = new long[BUCKETS];
    private final long[] extraRequests = new long[BUCKETS];
    private long newestBucket;

    /**
     * Creates a budget.
     *
     * @param ratio the number of extra sends for each request
     * @param allowance the number of further extra sends in a window, over all nodes
     * @param windowMillis the length of the window
     */
    public RetryBudget(double ratio, double allowance, long windowMillis) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /**
     * Counts a request of a caller.
     *
     * @param nowMillis the current time
     */
    public synchronized void countRequest(long nowMillis) {
        requests[advanceTo(nowMillis)]++;
    }

    /**
     * Takes one extra send, if the budget allows it.
     *
     * @param nowMillis the current time
     * @param nodes the number of nodes that share the allowance, at least 1
     * @return false when the budget is used up
     */
    public synchronized boolean tryAcquire(long nowMillis, int nodes) {
        int bucket = advanceTo(nowMillis);
        double limit = USABLE_SHARE * (ratio * Arrays.stream(requests).sum() + allowance / Math.max(1, nodes));
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
