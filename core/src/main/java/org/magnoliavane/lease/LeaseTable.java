package org.magnoliavane.lease;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;

/**
 * Holds the states of all leases, replayed from the stream {@code leases} in offset order and without a clock.
 *
 * <p>An acquisition takes effect when its author had read every record of that lease that took effect. The author must
 * wait by its own clock until the previous lease has expired, see {@link LeaseHolder}. A renewal or release takes
 * effect when it carries the current fencing token.
 *
 * <p>A reader that starts on a truncated stream cannot validate each record. It assumes that every record may have
 * taken effect, until it reads an acquisition whose author had read all records that this reader has missed. It may
 * therefore wait longer than other readers, but it never acquires a lease that they consider held. The retention time
 * of the log service must be at least twice the duration of a lease, so that a reader sees a record of each lease that
 * may be held.
 *
 * <p>Immutable and thread-safe.
 */
public final class LeaseTable {
    private static final LeaseTable INITIAL = new LeaseTable(Map.of(), 0, 0, 0);

    private final Map<String, LeaseState> leases;
    private final long nextOffset;
    private final long missedBefore;
    private final long unreadableCount;

    private LeaseTable(Map<String, LeaseState> leases, long nextOffset, long missedBefore, long unreadableCount) {
        this.leases = leases;
        this.nextOffset = nextOffset;
        this.missedBefore = missedBefore;
        this.unreadableCount = unreadableCount;
    }

    /**
     * Gets the table of a reader that has read nothing.
     *
     * @return the table
     */
    public static LeaseTable initial() {
        return INITIAL;
    }

    /**
     * Finds the state of a lease.
     *
     * @param lease the name
     * @return the state, or empty when no record of the lease was read
     */
    public Optional<LeaseState> find(String lease) {
        return Optional.ofNullable(leases.get(lease));
    }

    /**
     * Gets the offset from which to read on.
     *
     * @return the offset of the next record to read
     */
    public long getNextOffset() {
        return nextOffset;
    }

    /**
     * Gets the number of records that could not be parsed.
     *
     * @return the number
     */
    public long getUnreadableCount() {
        return unreadableCount;
    }

    /**
     * Returns the table after the log service has reported its oldest record. Older records that were not read are
     * missed.
     *
     * @param first the offset of the oldest record that the log service still has
     * @return the table
     */
    public LeaseTable withFirstOffset(long first) {
        if (first <= nextOffset) {
            return this;
        }
        Map<String, LeaseState> inexact = new HashMap<>();
        leases.forEach((name, state) -> inexact.put(name, state.withExact(false)));
        return new LeaseTable(Collections.unmodifiableMap(inexact), first, first, unreadableCount);
    }

    /**
     * Returns the table after a record.
     *
     * @param offset the offset of the record; a record that was read before changes nothing
     * @param data the bytes of the record
     * @return the table
     */
    public LeaseTable withRecord(long offset, byte[] data) {
        if (offset < nextOffset) {
            return this;
        }
        Either<String, LeaseRecord> parsed = LeaseRecord.parse(data);
        if (parsed.isLeft()) {
            return new LeaseTable(leases, offset + 1, missedBefore, unreadableCount + 1);
        }
        LeaseRecord record = parsed.get();
        Optional<LeaseState> next = apply(offset, record, leases.get(record.lease()));
        if (next.isEmpty()) {
            return new LeaseTable(leases, offset + 1, missedBefore, unreadableCount);
        }
        Map<String, LeaseState> copy = new HashMap<>(leases);
        copy.put(record.lease(), next.get());
        return new LeaseTable(Collections.unmodifiableMap(copy), offset + 1, missedBefore, unreadableCount);
    }

    private Optional<LeaseState> apply(long offset, LeaseRecord record, LeaseState state) {
        boolean exact = state == null ? missedBefore == 0 : state.exact();
        if (record.kind() == LeaseRecord.Kind.ACQUIRE) {
            return applyAcquisition(offset, record, state, exact);
        }
        if (!exact) {
            return Optional.of(assumeHeld(offset, record, state));
        }
        if (state == null || state.released() || state.fencingToken() != record.fencingToken()) {
            return Optional.empty();
        }
        boolean released = record.kind() == LeaseRecord.Kind.RELEASE;
        long duration = released ? state.durationMillis() : record.durationMillis();
        return Optional.of(
                new LeaseState(state.holder(), state.fencingToken(), duration, offset, record.id(), released, true));
    }

    private Optional<LeaseState> applyAcquisition(long offset, LeaseRecord record, LeaseState state, boolean exact) {
        long lastOffset = state == null ? -1 : state.lastOffset();
        boolean hadReadAll = record.seenOffset() < offset && lastOffset <= record.seenOffset();
        if (hadReadAll && (exact || record.seenOffset() >= missedBefore - 1)) {
            return Optional.of(
                    new LeaseState(record.holder(), offset, record.durationMillis(), offset, record.id(), false, true));
        }
        return exact ? Optional.empty() : Optional.of(assumeHeld(offset, record, state));
    }

    /** Assumes the longest possible duration, so that the reader waits long enough for every possible holder. */
    private static LeaseState assumeHeld(long offset, LeaseRecord record, LeaseState state) {
        long duration = Math.max(record.durationMillis(), state == null ? 0 : state.durationMillis());
        return new LeaseState(record.holder(), record.fencingToken(), duration, offset, record.id(), false, false);
    }
}
