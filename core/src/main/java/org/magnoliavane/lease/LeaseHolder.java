package org.magnoliavane.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Acquires, renews and gives up one lease for one node run. It decides by a monotonic clock alone: a holder counts from
 * the moment before it sent the record and stops before the end; a successor counts from the moment at which it read the
 * last record and waits beyond the end. So the two never overlap, whatever the delay of the log service.
 *
 * <p>A paused holder finds its lease at an end when it asks {@link #findFencing} after the pause. An order that it sends
 * must carry the fencing number and the end of validity, because a pause may also fall between asking and sending.
 *
 * <p>Not thread-safe. Times are in nanoseconds of one monotonic clock, such as {@link System#nanoTime}.
 */
public final class LeaseHolder {
    // Clocks of two hosts may differ in rate; a tenth on either side is far more than any does.
    private static final int MARGIN_PARTS = 10;
    private static final int RENEWALS_PER_LEASE = 3;

    private final String lease;
    private final String holder;
    private final long durationMillis;
    private final long durationNanos;
    private final Map<String, Long> sentNanos = new HashMap<>();
    private long records;
    private long readOffset = -1;
    private long readNanos;
    private String heldId = "";
    private long fencing = -1;
    private long validUntilNanos;
    private boolean held;
    private boolean tried;
    private long triedNanos;

    /**
     * Creates the holder of a lease that is not held yet.
     *
     * @param lease the name of the lease
     * @param holder the node run
     * @param durationMillis the time for which an acquisition or renewal holds, from 1 to
     *     {@link LeaseRecord#MAX_DURATION_MILLIS}
     */
    public LeaseHolder(String lease, String holder, long durationMillis) {
        if (durationMillis < 1 || durationMillis > LeaseRecord.MAX_DURATION_MILLIS) {
            throw new IllegalArgumentException("duration of " + durationMillis + " ms; allowed: 1 to "
                    + LeaseRecord.MAX_DURATION_MILLIS + " ms; choose one in this range");
        }
        this.lease = lease;
        this.holder = holder;
        this.durationMillis = durationMillis;
        durationNanos = TimeUnit.MILLISECONDS.toNanos(durationMillis);
    }

    /**
     * Takes note of the stream. Call it after each read, also when nothing new was read.
     *
     * @param fold the fold after the read
     * @param nowNanos the time, taken after the read
     */
    public void update(LeaseTable fold, long nowNanos) {
        Optional<LeaseState> found = fold.find(lease);
        if (found.isEmpty()) {
            return;
        }
        LeaseState state = found.get();
        if (state.lastOffset() > readOffset) {
            readOffset = state.lastOffset();
            readNanos = nowNanos;
        }
        if (!isOwn(state)) {
            held = false;
            return;
        }
        if (!state.lastId().equals(heldId)) {
            heldId = state.lastId();
            fencing = state.fencing();
            validUntilNanos = sentNanos.get(heldId) + durationNanos - durationNanos / MARGIN_PARTS;
            held = true;
            tried = false;
        }
    }

    /**
     * Finds the fencing number while the lease is held.
     *
     * @param nowNanos the time
     * @return the fencing number, or empty when the lease is not held or its end is near
     */
    public OptionalLong findFencing(long nowNanos) {
        return isValid(nowNanos) ? OptionalLong.of(fencing) : OptionalLong.empty();
    }

    /**
     * Gets the time for which an order that is sent now may be valid.
     *
     * @param nowNanos the time
     * @return the rest of the lease in milliseconds; 0 when it is not held
     */
    public long getRestMillis(long nowNanos) {
        return isValid(nowNanos) ? TimeUnit.NANOSECONDS.toMillis(validUntilNanos - nowNanos) : 0;
    }

    /**
     * Finds the record to append now. The caller appends it at once; when the append fails or its answer is lost, it
     * goes on reading and asking.
     *
     * @param fold the fold after the last read
     * @param nowNanos the time, taken before the append
     * @return the record, or empty when there is nothing to do
     */
    public Optional<LeaseRecord> nextRecord(LeaseTable fold, long nowNanos) {
        if (tried && nowNanos - triedNanos < durationNanos / RENEWALS_PER_LEASE) {
            return Optional.empty();
        }
        if (isValid(nowNanos)) {
            boolean due = nowNanos - sentNanos.get(heldId) >= durationNanos / RENEWALS_PER_LEASE;
            return due ? Optional.of(send(LeaseRecord.Kind.RENEW, fencing, fold, nowNanos)) : Optional.empty();
        }
        Optional<LeaseState> state = fold.find(lease);
        if (state.isPresent() && !isOver(state.get(), nowNanos)) {
            return Optional.empty();
        }
        return Optional.of(send(LeaseRecord.Kind.ACQUIRE, -1, fold, nowNanos));
    }

    /**
     * Gives the lease up. The holder must have stopped acting before.
     *
     * @param fold the fold after the last read
     * @return the record to append, which lets a successor start without waiting; empty when the lease is not held
     */
    public Optional<LeaseRecord> release(LeaseTable fold) {
        if (!held) {
            return Optional.empty();
        }
        held = false;
        // A renewal that is still on its way must not make this run the holder again.
        sentNanos.clear();
        return Optional.of(newRecord(LeaseRecord.Kind.RELEASE, 0, fencing, fold));
    }

    private boolean isValid(long nowNanos) {
        return held && nowNanos - validUntilNanos < 0;
    }

    private boolean isOwn(LeaseState state) {
        return state.exact() && !state.released() && sentNanos.containsKey(state.lastId());
    }

    private boolean isOver(LeaseState state, long nowNanos) {
        if (state.released()) {
            return true;
        }
        long waitNanos = TimeUnit.MILLISECONDS.toNanos(state.durationMillis());
        return state.lastOffset() == readOffset && nowNanos - readNanos >= waitNanos + waitNanos / MARGIN_PARTS;
    }

    private LeaseRecord send(LeaseRecord.Kind kind, long number, LeaseTable fold, long nowNanos) {
        LeaseRecord record = newRecord(kind, durationMillis, number, fold);
        // A record that takes effect so late that its time has passed gives no lease, so it need not be remembered.
        sentNanos.values().removeIf(sent -> nowNanos - sent > durationNanos);
        sentNanos.put(record.id(), nowNanos);
        tried = true;
        triedNanos = nowNanos;
        return record;
    }

    private LeaseRecord newRecord(LeaseRecord.Kind kind, long duration, long number, LeaseTable fold) {
        records++;
        return new LeaseRecord(kind, lease, holder, holder + "/" + records, duration, number, fold.getNextOffset() - 1);
    }
}
