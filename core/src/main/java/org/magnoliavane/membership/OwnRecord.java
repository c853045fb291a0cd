package org.magnoliavane.membership;

/**
 * Decides when a node must write its own record in a store again, because a rollback of the store has undone the last write.
 * The record is lost if the write was confirmed in an older epoch than the one whose content shows another state. A write
 * that is under way or repeats after failures needs no second one.
 *
 * <p>A confirmation that crosses the rollback may name the new epoch although the write was before it. In a store that has
 * been rolled back, a write is therefore lost as well if it has not been seen long after its confirmation.
 *
 * <p>Thread-safe.
 */
public final class OwnRecord {
    private static final long UNCONFIRMED = -1;

    /** Time within which a confirmed write is seen; longer than the 8 s for which a read of the nodes is held open. */
    private static final long SEEN_WITHIN_MILLIS = 10_000;

    private boolean listed;
    private long confirmedEra = UNCONFIRMED;
    private long confirmedMillis;

    /**
     * Records the start of a write.
     *
     * @param asListed true if the write lists this node, false if it removes the record
     */
    public synchronized void startWrite(boolean asListed) {
        listed = asListed;
        confirmedEra = UNCONFIRMED;
    }

    /**
     * Records that the store has confirmed a write. The confirmation of a write that a later one has superseded is ignored.
     *
     * @param asListed true if the write lists this node, false if it removes the record
     * @param era the epoch of the store that has confirmed it
     * @param nowMillis the current time in milliseconds
     */
    public synchronized void confirmWrite(boolean asListed, long era, long nowMillis) {
        if (asListed == listed) {
            confirmedEra = era;
            confirmedMillis = nowMillis;
        }
    }

    /**
     * Returns whether the last write is lost.
     *
     * @param era the epoch of the store whose content is known
     * @param seenListed whether that content has the record of this node
     * @param nowMillis the current time in milliseconds
     * @return true if it must be written again
     */
    public synchronized boolean isLost(long era, boolean seenListed, long nowMillis) {
        if (confirmedEra == UNCONFIRMED || era == 0 || seenListed == listed) {
            return false;
        }
        return confirmedEra < era || nowMillis - confirmedMillis > SEEN_WITHIN_MILLIS;
    }
}
