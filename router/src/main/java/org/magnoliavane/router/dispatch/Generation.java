package org.magnoliavane.router.dispatch;

/**
 * The size of a request to a model.
 *
 * <p>Immutable and thread-safe.
 *
 * @param promptTokens the tokens of the prompt
 * @param maxOutputTokens the largest number of tokens of the answer
 * @param likelyOutputTokens the caller's estimate of the tokens of the answer, at most the largest number
 */
public record Generation(int promptTokens, int maxOutputTokens, int likelyOutputTokens) {

    /**
     * Estimates the memory that the request takes.
     *
     * @return the tokens of prompt and likely answer
     */
    public int memoryTokens() {
        return promptTokens + likelyOutputTokens;
    }
}
