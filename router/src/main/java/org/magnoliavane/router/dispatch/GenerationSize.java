package org.magnoliavane.router.dispatch;

/**
 * The size of a request to a model.
 *
 * <p>Immutable and thread-safe.
 *
 * @param promptTokens the tokens of the prompt
 * @param maxOutputTokens the largest number of tokens of the answer
 * @param expectedOutputTokens the caller's estimate of the tokens of the answer, at most the largest number
 */
public record GenerationSize(int promptTokens, int maxOutputTokens, int expectedOutputTokens) {

    /** Share of a likely answer that is in memory on average while the requests of a worker are at different points. */
    private static final double MEAN_ANSWER_SHARE = 0.6;

    /**
     * Estimates the memory that the request takes.
     *
     * @return the tokens of the prompt and of the part of the answer that is in memory on average
     */
    public int memoryTokens() {
        return promptTokens + (int) (MEAN_ANSWER_SHARE * expectedOutputTokens);
    }
}
