package org.magnoliavane.lease;

/**
 * Holds the state of one lease as a reader of the stream knows it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param holder the node run that acquired the lease last
 * @param fencingToken the fencing token: the offset of the record that acquired the lease
 * @param durationMillis the duration of the lease from the last acquisition or renewal on, in milliseconds
 * @param lastOffset the offset of the last record that took effect
 * @param lastId the id of that record
 * @param released true when the holder has released the lease
 * @param exact false when the reader has missed records, so that an older or newer holder is possible; only the time to
 *     wait may then be derived from this state
 */
public record LeaseState(
        String holder,
        long fencingToken,
        long durationMillis,
        long lastOffset,
        String lastId,
        boolean released,
        boolean exact) {

    LeaseState withExact(boolean newExact) {
        return new LeaseState(holder, fencingToken, durationMillis, lastOffset, lastId, released, newExact);
    }
}
