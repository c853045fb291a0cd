package org.magnoliavane.bench;

/**
 * Records what became of one request. Times are in microseconds; -1 where nothing happened. Not thread-safe.
 */
final class Outcome {
    final Job job;
    long firstTokenMicros = -1;
    long maxGapMicros;
    long waitedMicros = -1;
    long refusedMicros = -1;
    boolean complete;
    int decisions;

    Outcome(Job job) {
        this.job = job;
    }

    /** Says whether the answer is complete and met both targets, the second one by its longest gap. */
    boolean isGood() {
        return complete
                && firstTokenMicros <= job.priceClass().ttftMillis() * 1000
                && maxGapMicros <= job.priceClass().tbtMillis() * 1000;
    }

    boolean isRefused() {
        return refusedMicros >= 0;
    }

    boolean waitedPastBound() {
        return Math.max(waitedMicros, refusedMicros) > job.priceClass().maxWaitMillis() * 1000;
    }
}
