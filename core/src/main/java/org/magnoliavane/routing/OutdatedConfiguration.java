package org.magnoliavane.routing;

/**
 * Decides when a node reads the configuration because another node has a newer version. After a rollback, the store may lack
 * the newer version until the operator has published it again, while reports of it arrive several times a second from each
 * node; each read is a priced call.
 *
 * <p>Thread-safe.
 */
public final class OutdatedConfiguration {
    /** Age up to which a read counts as the answer to a report that arrived meanwhile. */
    private static final long MIN_AGE_MILLIS = 100;

    /** Interval of repeated reads for one version; the first of them may have started before the version was written. */
    private static final long REPEAT_MILLIS = 500;

    private long readVersion;

    /**
     * Returns whether the configuration must be read now.
     *
     * @param knownVersion the version in force at this node
     * @param newestVersion the highest version in force at another node
     * @param ageMillis the time in milliseconds since the configuration was last read
     * @return true if it must be read; the read then counts as started
     */
    public synchronized boolean startRead(long knownVersion, long newestVersion, long ageMillis) {
        long minAgeMillis = newestVersion == readVersion ? REPEAT_MILLIS : MIN_AGE_MILLIS;
        if (newestVersion <= knownVersion || ageMillis <= minAgeMillis) {
            return false;
        }
        readVersion = newestVersion;
        return true;
    }
}
