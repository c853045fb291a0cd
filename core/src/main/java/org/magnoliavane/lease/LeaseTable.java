package org.magnoliavane.lease;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;

/**
 * Folds the records of the stream {@code leases} in offset order, without a clock. An acquisition takes effect when its
 * author had read every record of that lease that took effect; waiting until the old lease has run out is the duty of
 * the author, by its own clock ({@link LeaseHolder}). A renewal or release takes effect when it has the current fencing
 * number.
 *
 * <p>A reader that starts on a truncated stream cannot judge each record. It takes every record as one that may have
 * taken effect, until an acquisition whose author had read all records that this reader has missed. So it may wait
 * longer than other readers, and it never takes a lease that they see as held. The retention time of the log service must
 * be at least twice the duration of a lease, so that a reader sees a record of each lease that may be held.
 *
 * <p>Immutable and thread-safe.
 */
public final class LeaseTable {
    private static final LeaseTable START = new LeaseTable(Map.of(), 0, 0, 0);

    private final Map<String, LeaseState> leases;
    private final long nextOffset;
    private final long missedBefore;
    private final long unreadable;

    private LeaseTable(Map<String, LeaseState> leases, long nextOffset, long missedBefore, long unreadable) {
        this.leases = leases;
        this.nextOffset = nextOffset;
        this.missedBefore = missedBefore;
        this.unreadable = unreadable;
    }

    /**
     * Gets the fold of a reader that has read nothing.
     *
     * @return the fold
     */
    public static LeaseTable start() {
        return START;
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
     * @return the offset of the next record wanted
     */
    public long getNextOffset() {
        return nextOffset;
    }

    /**
     * Gets the number of records that could not be read.
     *
     * @return the number
     */
    public long getUnreadable() {
        return unreadable;
    }

    /**
     * Returns the fold after the log service has named its oldest record. Records that were not read before are missed.
     *
     * @param first the offset of the oldest record that the log service still has
     * @return the fold
     */
    public LeaseTable withFirstOffset(long first) {
        if (first <= nextOffset) {
            return this;
        }
        Map<String, LeaseState> inexact = new HashMap<>();
        leases.forEach((name, state) -> inexact.put(name, state.withExact(false)));
        return new LeaseTable(Collections.unmodifiableMap(inexact), first, first, unreadable);
    }

    /**
     * Returns the fold after a record.
     *
     * @param offset the offset of the record; a record that was read before changes nothing
     * @param data the bytes of the record
     * @return the fold
     */
    public LeaseTable withRecord(long offset, byte[] data) {
        if (offset < nextOffset) {
            return this;
        }
        Either<String, LeaseRecord> parsed = LeaseRecord.parse(data);
        if (parsed.isLeft()) {
            return new LeaseTable(leases, offset + 1, missedBefore, unreadable + 1);
        }
        LeaseRecord record = parsed.get();
        Optional<LeaseState> next = fold(offset, record, leases.get(record.lease()));
        if (next.isEmpty()) {
            return new LeaseTable(leases, offset + 1, missedBefore, unreadable);
        }
        Map<String, LeaseState> copy = new HashMap<>(leases);
        copy.put(record.lease(), next.get());
        return new LeaseTable(Collections.unmodifiableMap(copy), offset + 1, missedBefore, unreadable);
    }

    private Optional<LeaseState> fold(long offset, LeaseRecord record, LeaseState state) {
        boolean exact = state == null ? missedBefore == 0 : state.exact();
        if (record.kind() == LeaseRecord.Kind.ACQUIRE) {
            return foldAcquire(offset, record, state, exact);
        }
        if (!exact) {
            return Optional.of(assume(offset, record, state));
        }
        if (state == null || state.released() || state.fencing() != record.fencing()) {
            return Optional.empty();
        }
        boolean released = record.kind() == LeaseRecord.Kind.RELEASE;
        long duration = released ? state.durationMillis() : record.durationMillis();
        return Optional.of(
                new LeaseState(state.holder(), state.fencing(), duration, offset, record.id(), released, true));
    }

    private Optional<LeaseState> foldAcquire(long offset, LeaseRecord record, LeaseState state, boolean exact) {
        long lastOffset = state == null ? -1 : state.lastOffset();
        boolean sawAll = record.seenOffset() < offset && lastOffset <= record.seenOffset();
        if (sawAll && (exact || record.seenOffset() >= missedBefore - 1)) {
            return Optional.of(
                    new LeaseState(record.holder(), offset, record.durationMillis(), offset, record.id(), false, true));
        }
        return exact ? Optional.empty() : Optional.of(assume(offset, record, state));
    }

    /** The longest duration that is possible makes the reader wait long enough for every holder. */
    private static LeaseState assume(long offset, LeaseRecord record, LeaseState state) {
        long duration = Math.max(record.durationMillis(), state == null ? 0 : state.durationMillis());
        return new LeaseState(record.holder(), record.fencing(), duration, offset, record.id(), false, false);
    }
}
