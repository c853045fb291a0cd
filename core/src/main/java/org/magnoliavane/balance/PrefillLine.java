package org.magnoliavane.balance;

/**
 * Separates the measured durations of prefills into a latency, which does not depend on the prompt, and a time for each token,
 * by a regression line. An engine computes the next prompt during the latency of the one before, so that a worker with a long
 * latency needs several prefills at a time to be busy.
 *
 * <p>Not thread-safe.
 */
final class PrefillLine {
    /** Number of prefills from which the line is used; with fewer, the latency may be wrong by half of a typical prefill. */
    private static final int MIN_SAMPLES = 8;

    /** Weight that the earlier prefills keep with each new one, so that the line follows an engine that changes. */
    private static final double DECAY = 0.98;

    /** Share of a prefill that the latency must exceed for another slot; a wrong slot delays the prefill that has the worker. */
    private static final double MIN_LATENCY_SHARE = 0.75;

    /** Largest number of prefills at a time. */
    private static final int MAX_SLOTS = 3;

    private int samples;
    private double weight;
    private double meanTokens;
    private double meanMillis;
    private double tokensVariance;
    private double covariance;

    /**
     * Adds a prefill at a worker without other work.
     *
     * @param tokens the number of tokens of the prompt
     * @param millis the duration at a worker of mean speed, in milliseconds
     */
    void add(int tokens, double millis) {
        samples++;
        weight = DECAY * weight + 1;
        double share = 1 / weight;
        double tokensDeviation = tokens - meanTokens;
        double millisDeviation = millis - meanMillis;
        meanTokens += share * tokensDeviation;
        meanMillis += share * millisDeviation;
        tokensVariance = (1 - share) * (tokensVariance + share * tokensDeviation * tokensDeviation);
        covariance = (1 - share) * (covariance + share * tokensDeviation * millisDeviation);
    }

    /**
     * Computes how many prefills of mean size a worker can run at a time without delaying the first of them.
     *
     * @return the number, at least 1
     */
    int getSlots() {
        if (samples < MIN_SAMPLES || tokensVariance <= 0 || covariance <= 0) {
            return 1;
        }
        double computeMillis = covariance / tokensVariance * meanTokens;
        double latencyMillis = meanMillis - computeMillis;
        return (int) Math.max(1, Math.min(MAX_SLOTS, 1 + latencyMillis / computeMillis + 1 - MIN_LATENCY_SHARE));
    }
}
