package org.magnoliavane.config;

/**
 * Limits that hold for every request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxBodyBytes the largest request body
 * @param maxPromptTokens the longest prompt
 * @param addressLifetimeSeconds the time for which callers may keep an answer of {@code /v1/addresses}
 * @param resumeWindowMillis the time for which a stream without a caller is kept for resumption
 * @param retryBudgetPercent the share of idempotent calls that may be retried
 */
public record Limits(
        int maxBodyBytes,
        int maxPromptTokens,
        long addressLifetimeSeconds,
        long resumeWindowMillis,
        int retryBudgetPercent) {

    /** The limits of a text that sets none. */
    public static final Limits DEFAULT = new Limits(4_194_304, 65_536, 30, 5000, 10);
}
