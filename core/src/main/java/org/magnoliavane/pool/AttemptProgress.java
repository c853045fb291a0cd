package org.magnoliavane.pool;

/**
 * Reports the progress of an attempt to the coordinator of its pool.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attempt the id of the attempt
 * @param phase the phase that was reached
 * @param outputTokens the number of tokens generated so far
 * @param cachedTokens the number of prompt tokens that the prefill worker took from its cache
 */
public record AttemptProgress(String attempt, AttemptPhase phase, int outputTokens, int cachedTokens) {}
