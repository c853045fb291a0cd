package org.magnoliavane.node.dispatch;

/**
 * Describes the end of a complete answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param finishReason {@code stop} or {@code length}
 * @param promptTokens the number of prompt tokens as the engine counts them
 * @param completionTokens the number of output tokens as the engine counts them
 * @param cachedTokens the number of prompt tokens that the prefill worker read from its prefix cache; 0 when it is
 *     unknown
 */
public record AnswerEnd(String finishReason, int promptTokens, int completionTokens, int cachedTokens) {}
