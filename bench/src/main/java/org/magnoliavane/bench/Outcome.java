package org.magnoliavane.bench;

/**
 * Records what became of one request. Times are in microseconds; -1 where nothing happened. Not thread-safe.
 */
final class Outcome {
    final Job job;
    long firstTokenMicros = -1;
    long maxTokenGapMicros;
    long prefillWaitMicros = -1;
    long refusalMicros = -1;
    boolean complete;
    int decisionCount;

    Outcome(Job job) {
        this.job = job;
    }

    /** Says whether the answer is complete and met both targets, the second one by its longest gap. */
    boolean isGood() {
        return complete
                && firstTokenMicros <= job.priceClass().ttftMillis() * 1000
                && maxTokenGapMicros <= job.priceClass().tbtMillis() * 1000;
    }

    boolean isRefused() {
        return refusalMicros >= 0;
    }

    boolean hasExceededMaxWait() {
        return Math.max(prefillWaitMicros, refusalMicros) > job.priceClass().maxWaitMillis() * 1000;
    }
}
