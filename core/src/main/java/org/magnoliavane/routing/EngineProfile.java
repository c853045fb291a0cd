package org.magnoliavane.routing;

/**
 * Describes the model engines of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots the number of requests that an engine runs at once
 * @param kvCapacityTokens the number of tokens that fit into the memory of an engine
 * @param kvRetentionMillis how long the KV cache of a finished prefill is kept for a decode worker
 */
public record EngineProfile(int slots, int kvCapacityTokens, long kvRetentionMillis) {
    /** Share of the memory that is filled; the rest covers blocks that are partly used and longer answers. */
    private static final double USABLE_SHARE = 0.95;

    /**
     * Gets the tokens that requests may take together.
     *
     * @return the usable part of the memory
     */
    public int getUsableTokens() {
        return (int) (USABLE_SHARE * kvCapacityTokens);
    }
}
