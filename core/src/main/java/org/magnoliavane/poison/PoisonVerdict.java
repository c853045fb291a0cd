package org.magnoliavane.poison;

/**
 * Says what is known of a request's content.
 *
 * <p>Immutable and thread-safe.
 *
 * @param contentHash the hash of the content
 * @param status what is known
 * @param revision the number of changes; of two verdicts about one content the one with the larger revision holds
 */
public record PoisonVerdict(long contentHash, PoisonStatus status, long revision) {

    /**
     * Says whether this verdict replaces another one about the same content.
     *
     * @param other the other verdict
     * @return true when this one holds
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
