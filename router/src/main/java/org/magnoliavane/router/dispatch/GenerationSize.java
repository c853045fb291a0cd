package org.magnoliavane.router.dispatch;

/**
 * Describes the size of a model request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param promptTokens the number of tokens of the prompt
 * @param maxOutputTokens the largest number of output tokens
 * @param expectedOutputTokens the caller's estimate of the number of output tokens, at most {@code maxOutputTokens}
 */
public record GenerationSize(int promptTokens, int maxOutputTokens, int expectedOutputTokens) {

    /**
     * Share of the expected output that is in memory on average, since the requests of a worker are at different points of
     * their output.
     */
    private static final double MEAN_OUTPUT_SHARE = 0.6;

    /**
     * Estimates the KV cache memory that the request occupies.
     *
     * @return the number of tokens of the prompt and of the part of the output that is in memory on average
     */
    public int estimateMemoryTokens() {
        return promptTokens + (int) (MEAN_OUTPUT_SHARE * expectedOutputTokens);
    }
}
