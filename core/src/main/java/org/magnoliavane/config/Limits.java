package org.magnoliavane.config;

/**
 * Holds the limits that apply to all requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param maxPromptTokens the maximum length of a prompt in tokens
 * @param addressLifetimeSeconds the time for which callers may cache a response of {@code /v1/addresses}, in seconds
 * @param resumeWindowMillis the time for which a stream without a caller can be resumed, in milliseconds
 * @param retryBudgetPercent the share of idempotent requests that may be retried, in percent
 */
public record Limits(
        int maxBodyBytes,
        int maxPromptTokens,
        long addressLifetimeSeconds,
        long resumeWindowMillis,
        int retryBudgetPercent) {

    /** The limits of a configuration that sets none. */
    public static final Limits DEFAULT = new Limits(4_194_304, 65_536, 30, 5000, 10);
}
