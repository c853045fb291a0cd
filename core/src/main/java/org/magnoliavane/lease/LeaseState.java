package org.magnoliavane.lease;

/**
 * Holds what a reader of the stream knows about one lease.
 *
 * <p>Immutable and thread-safe.
 *
 * @param holder the node run that acquired the lease last
 * @param fencing the fencing number: the offset of the record that acquired the lease
 * @param durationMillis the time for which the lease is held from the last acquisition or renewal on
 * @param lastOffset the offset of the last record that took effect
 * @param lastId the id of that record
 * @param released true when the holder gave the lease back
 * @param exact false when the reader has missed records, so that an older or newer holder is possible; only the time to
 *     wait may then be taken from this state
 */
public record LeaseState(
        String holder,
        long fencing,
        long durationMillis,
        long lastOffset,
        String lastId,
        boolean released,
        boolean exact) {

    LeaseState withExact(boolean value) {
        return new LeaseState(holder, fencing, durationMillis, lastOffset, lastId, released, value);
    }
}
