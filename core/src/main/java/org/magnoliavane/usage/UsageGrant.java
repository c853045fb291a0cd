package org.magnoliavane.usage;

/**
 * The decision of an owner on a request for units.
 *
 * <p>Immutable and thread-safe.
 *
 * @param grantedUnits the granted units, including those ahead; 0 if the request is over the cap
 * @param retryAfterMillis the time until there is room if none are granted
 */
public record UsageGrant(long grantedUnits, long retryAfterMillis) {

    /**
     * Returns whether units were granted.
     *
     * @return false if the request is over the cap
     */
    public boolean isGranted() {
        return grantedUnits > 0;
    }
}
