package org.magnoliavane.routing;

/**
 * Describes the model engines of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots the number of requests that an engine runs concurrently
 * @param kvCapacityTokens the number of tokens that fit into the KV cache of an engine
 * @param kvRetentionMillis the time for which an engine retains the KV cache of a finished prefill for a decode worker,
 *     in milliseconds
 */
public record EngineProfile(int slots, int kvCapacityTokens, long kvRetentionMillis) {
    /**
     * The share of the KV cache that is used; the rest is for partly used blocks and for answers longer than expected.
     */
    private static final double USABLE_SHARE = 0.95;

    /**
     * Gets the number of tokens that all requests of an engine may use together.
     *
     * @return the usable part of the capacity, in tokens
     */
    public int getUsableTokens() {
        return (int) (USABLE_SHARE * kvCapacityTokens);
    }
}
