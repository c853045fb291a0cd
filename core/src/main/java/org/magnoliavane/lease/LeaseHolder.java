package org.magnoliavane.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Acquires, renews and releases one lease for one node run.
 *
 * <p>It depends on a monotonic clock only. A holder measures the lease from the time before it sent the record and
 * stops before the end; a successor measures it from the time at which it read the last record and waits beyond the
 * end. The two therefore never overlap, whatever the delay of the log service.
 *
 * <p>A holder that was paused finds its lease expired when it calls {@link #findFencingToken} after the pause. An order
 * must carry the fencing token and the end of its validity, because the pause may also occur between this call and the
 * sending of the order.
 *
 * <p>Not thread-safe. Times are in nanoseconds of one monotonic clock, such as {@link System#nanoTime}.
 */
public final class LeaseHolder {
    // The clocks of two hosts may differ in rate; a margin of a tenth on each side far exceeds any real difference.
    private static final int CLOCK_MARGIN_DIVISOR = 10;
    private static final int RENEWALS_PER_LEASE = 3;

    private final String lease;
    private final String holder;
    private final long durationMillis;
    private final long durationNanos;
    private final Map<String, Long> sentNanos = new HashMap<>();
    private long recordCount;
    private long readOffset = -1;
    private long readNanos;
    private String effectiveId = "";
    private long fencingToken = -1;
    private long validUntilNanos;
    private boolean held;
    private boolean pending;
    private long pendingNanos;

    /**
     * Creates the holder of a lease that is not held yet.
     *
     * @param lease the name of the lease
     * @param holder the node run
     * @param durationMillis the duration of the lease after an acquisition or renewal, in milliseconds, from 1 to
     *     {@link LeaseRecord#MAX_DURATION_MILLIS}
     */
    public LeaseHolder(String lease, String holder, long durationMillis) {
        if (durationMillis < 1 || durationMillis > LeaseRecord.MAX_DURATION_MILLIS) {
            throw new IllegalArgumentException("lease duration is " + durationMillis + " ms; allowed: 1 to "
                    + LeaseRecord.MAX_DURATION_MILLIS + " ms; choose a duration in this range");
        }
        this.lease = lease;
        this.holder = holder;
        this.durationMillis = durationMillis;
        durationNanos = TimeUnit.MILLISECONDS.toNanos(durationMillis);
    }

    /**
     * Updates this holder from the stream. It must be called after each read, even when nothing new was read.
     *
     * @param leases the leases after the read
     * @param nowNanos the time, taken after the read, in nanoseconds
     */
    public void update(LeaseTable leases, long nowNanos) {
        Optional<LeaseState> found = leases.find(lease);
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
        if (!state.lastId().equals(effectiveId)) {
            effectiveId = state.lastId();
            fencingToken = state.fencingToken();
            validUntilNanos = sentNanos.get(effectiveId) + durationNanos - durationNanos / CLOCK_MARGIN_DIVISOR;
            held = true;
            pending = false;
        }
    }

    /**
     * Finds the fencing token while the lease is held.
     *
     * @param nowNanos the current time in nanoseconds
     * @return the fencing token; empty when the lease is not held or is about to expire
     */
    public OptionalLong findFencingToken(long nowNanos) {
        return isValid(nowNanos) ? OptionalLong.of(fencingToken) : OptionalLong.empty();
    }

    /**
     * Gets the time for which an order that is sent now may be valid.
     *
     * @param nowNanos the current time in nanoseconds
     * @return the remaining time of the lease in milliseconds; 0 when it is not held
     */
    public long getRemainingMillis(long nowNanos) {
        return isValid(nowNanos) ? TimeUnit.NANOSECONDS.toMillis(validUntilNanos - nowNanos) : 0;
    }

    /**
     * Creates the record to append now, if any. The caller must append it at once. When the append fails or its
     * response is lost, the caller continues to read the stream and to call this method.
     *
     * @param leases the leases after the last read
     * @param nowNanos the time, taken before the append, in nanoseconds
     * @return the record; empty when there is nothing to do
     */
    public Optional<LeaseRecord> nextRecord(LeaseTable leases, long nowNanos) {
        if (pending && nowNanos - pendingNanos < durationNanos / RENEWALS_PER_LEASE) {
            return Optional.empty();
        }
        if (isValid(nowNanos)) {
            boolean due = nowNanos - sentNanos.get(effectiveId) >= durationNanos / RENEWALS_PER_LEASE;
            return due
                    ? Optional.of(createPendingRecord(LeaseRecord.Kind.RENEW, fencingToken, leases, nowNanos))
                    : Optional.empty();
        }
        Optional<LeaseState> state = leases.find(lease);
        if (state.isPresent() && !isExpired(state.get(), nowNanos)) {
            return Optional.empty();
        }
        return Optional.of(createPendingRecord(LeaseRecord.Kind.ACQUIRE, -1, leases, nowNanos));
    }

    /**
     * Releases the lease. The holder must have stopped sending orders before.
     *
     * @param leases the leases after the last read
     * @return the record to append, which allows a successor to acquire the lease without waiting; empty when the lease
     *     is not held
     */
    public Optional<LeaseRecord> release(LeaseTable leases) {
        if (!held) {
            return Optional.empty();
        }
        held = false;
        // A renewal that has not arrived yet must not make this run the holder again.
        sentNanos.clear();
        return Optional.of(createRecord(LeaseRecord.Kind.RELEASE, 0, fencingToken, leases));
    }

    private boolean isValid(long nowNanos) {
        return held && nowNanos - validUntilNanos < 0;
    }

    private boolean isOwn(LeaseState state) {
        return state.exact() && !state.released() && sentNanos.containsKey(state.lastId());
    }

    private boolean isExpired(LeaseState state, long nowNanos) {
        if (state.released()) {
            return true;
        }
        long waitNanos = TimeUnit.MILLISECONDS.toNanos(state.durationMillis());
        return state.lastOffset() == readOffset && nowNanos - readNanos >= waitNanos + waitNanos / CLOCK_MARGIN_DIVISOR;
    }

    private LeaseRecord createPendingRecord(LeaseRecord.Kind kind, long token, LeaseTable leases, long nowNanos) {
        LeaseRecord record = createRecord(kind, durationMillis, token, leases);
        // A record that takes effect after its duration has passed yields no lease, so it can be removed.
        sentNanos.values().removeIf(sent -> nowNanos - sent > durationNanos);
        sentNanos.put(record.id(), nowNanos);
        pending = true;
        pendingNanos = nowNanos;
        return record;
    }

    private LeaseRecord createRecord(LeaseRecord.Kind kind, long duration, long token, LeaseTable leases) {
        recordCount++;
        return new LeaseRecord(
                kind, lease, holder, holder + "/" + recordCount, duration, token, leases.getNextOffset() - 1);
    }
}
