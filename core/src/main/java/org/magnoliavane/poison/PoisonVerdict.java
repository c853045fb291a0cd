package org.magnoliavane.poison;

/**
 * Holds the poison status of a request content, as nodes exchange it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param contentHash the hash of the content
 * @param status the status
 * @param revision the number of changes; of two verdicts on one content the one with the higher revision takes
 *     precedence
 */
public record PoisonVerdict(long contentHash, PoisonStatus status, long revision) {

    /**
     * Returns whether this verdict replaces another one on the same content. A conviction is never replaced.
     *
     * @param other the other verdict
     * @return true when this verdict takes precedence
     */
    public boolean replaces(PoisonVerdict other) {
        if (other.status == PoisonStatus.CONVICTED) {
            return false;
        }
        if (status == PoisonStatus.CONVICTED) {
            return true;
        }
        if (revision != other.revision) {
            return revision > other.revision;
        }
        return status.compareTo(other.status) > 0;
    }
}
