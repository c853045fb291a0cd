package org.magnoliavane.routing;

/**
 * Limits how much an organisation may use at all nodes together: a rate, and a burst beyond it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param unit what is counted
 * @param unitsPerSecond the rate, greater than 0
 * @param burst the units that may be used beyond the rate, at least 0
 * @param defaultTokens the tokens of a request that states no size; used if tokens are counted
 */
public record UsageCap(Unit unit, double unitsPerSecond, double burst, long defaultTokens) {

    /** What a usage cap counts. */
    public enum Unit {
        /** Each request counts as 1. */
        REQUESTS,
        /** A request counts as its prompt tokens and its largest number of output tokens. */
        TOKENS
    }
}
