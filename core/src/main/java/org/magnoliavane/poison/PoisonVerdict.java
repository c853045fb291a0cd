package org.magnoliavane.poison;

/**
 * Says what is known of a request's content.
 *
 * <p>Immutable and thread-safe.
 *
 * @param contentHash the hash of the content
 * @param standing what is known
 * @param revision the number of changes; of two verdicts about one content the one with the larger revision holds
 */
public record PoisonVerdict(long contentHash, Standing standing, long revision) {

    /**
     * Says whether this verdict replaces another one about the same content.
     *
     * @param other the other verdict
     * @return true when this one holds
     */
    public boolean replaces(PoisonVerdict other) {
        if (other.standing == Standing.CONVICTED) {
            return false;
        }
        if (standing == Standing.CONVICTED) {
            return true;
        }
        if (revision != other.revision) {
            return revision > other.revision;
        }
        return standing.compareTo(other.standing) > 0;
    }
}
