package org.magnoliavane.node.dispatch;

/**
 * Describes the end of a complete answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param finishReason {@code stop} or {@code length}
 * @param promptTokens the length of the prompt as the engine counts it
 * @param completionTokens the length of the output as the engine counts it
 * @param cachedTokens the number of prompt tokens that came from the engine's cache; 0 when it is not known
 */
public record AnswerEnd(String finishReason, int promptTokens, int completionTokens, int cachedTokens) {}
