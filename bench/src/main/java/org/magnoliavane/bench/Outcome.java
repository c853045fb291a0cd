package org.magnoliavane.bench;

/**
 * Records the outcome of one request. Times of events are in microseconds since its arrival, and -1 for an event that
 * has not occurred. Not thread-safe.
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

    /** Returns whether the answer is complete, its first token came on time and no gap between tokens was too long. */
    boolean isGood() {
        return complete
                && firstTokenMicros <= job.priceClass().ttftMillis() * 1000
                && maxTokenGapMicros <= job.priceClass().tbtMillis() * 1000;
    }

    boolean isRefused() {
        return refusalMicros >= 0;
    }

    /** Returns whether the prefill or the refusal came later than the maximum wait of the price class. */
    boolean hasExceededMaxWait() {
        return Math.max(prefillWaitMicros, refusalMicros) > job.priceClass().maxWaitMillis() * 1000;
    }
}
