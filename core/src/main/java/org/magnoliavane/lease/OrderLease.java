package org.magnoliavane.lease;

import java.util.OptionalLong;

/**
 * Holds a short lease on sending orders to workers.
 *
 * <p>The lease is acquired by a conditional append: the log accepts the record only at the expected end, and the new
 * end of the log, with the epoch of the store before it, is the fencing token. A node that finds that another holder has appended a record waits until the
 * lease of that holder has certainly expired before the next acquisition. Orders of two holders are therefore always
 * more than one lease apart.
 *
 * <p>After a rollback of the store, which raises its epoch, the log has another end and may accept a second record there.
 * What was known of the log is then forgotten, an acquisition that spans the rollback is abandoned, and the next one waits
 * until the lease of any holder of an older epoch has certainly expired.
 *
 * <p>Not thread-safe. Two clocks are needed, because the monotonic clock stands still while a VM is frozen, and the
 * wall clock may be set.
 */
public final class OrderLease {
    /** The time after the sending of the record within which orders may be sent. */
    private static final long VALIDITY_MILLIS = 1000;

    /** The additional wait before the lease of another holder is considered expired, for delays of its orders. */
    private static final long DELIVERY_MARGIN_MILLIS = 500;

    /** Position of the epoch in a fencing token, so that tokens increase across epochs. */
    private static final int ERA_SHIFT = 32;

    private final long leaseMillis;
    private long era;
    private long acquisitionEra;
    private long logEnd;
    private long logEndKnownMillis;
    private long notBeforeMillis = Long.MIN_VALUE;
    private boolean acquiring;
    private long acquisitionMillis;
    private long acquisitionWallMillis;
    private OptionalLong fencingToken = OptionalLong.empty();

    /**
     * Creates a lease that is not held.
     *
     * @param leaseMillis the time in milliseconds within which two holders must not both send orders; 0 to allow no
     *     orders at all
     */
    public OrderLease(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Starts an acquisition if one is allowed now.
     *
     * @param nowMillis the monotonic clock in milliseconds
     * @param wallMillis the wall clock in milliseconds
     * @return the expected end of the log for the conditional append; empty when no acquisition is allowed
     */
    public OptionalLong startAcquisition(long nowMillis, long wallMillis) {
        if (leaseMillis <= 0 || acquiring || nowMillis < notBeforeMillis) {
            return OptionalLong.empty();
        }
        acquiring = true;
        acquisitionEra = era;
        acquisitionMillis = nowMillis;
        acquisitionWallMillis = wallMillis;
        fencingToken = OptionalLong.empty();
        return OptionalLong.of(logEnd);
    }

    /**
     * Records that the log has accepted the record. Without effect but a wait if the epoch is not the one in which the
     * acquisition started.
     *
     * @param newEnd the end of the log after the record
     * @param storeEra the epoch of the store that has accepted the record
     * @param nowMillis the monotonic clock in milliseconds
     */
    public void completeAcquisition(long newEnd, long storeEra, long nowMillis) {
        if (storeEra != acquisitionEra || storeEra != era) {
            rejectAcquisition(newEnd, storeEra, nowMillis);
            return;
        }
        acquiring = false;
        logEnd = newEnd;
        logEndKnownMillis = acquisitionMillis;
        fencingToken = OptionalLong.of((era << ERA_SHIFT) + newEnd);
    }

    /**
     * Records the epoch of the store.
     *
     * @param storeEra the epoch; without effect unless it is newer than the known one
     * @param nowMillis the monotonic clock in milliseconds
     */
    public void observeEra(long storeEra, long nowMillis) {
        if (storeEra > era) {
            era = storeEra;
            logEnd = 0;
            backOff(nowMillis);
        }
    }

    /**
     * Gets the known epoch of the store.
     *
     * @return the epoch
     */
    public long getEra() {
        return era;
    }

    /**
     * Records that the log has another end, because another holder has appended a record.
     *
     * @param actualEnd the end of the log
     * @param storeEra the epoch of the store that has answered
     * @param nowMillis the monotonic clock in milliseconds
     */
    public void rejectAcquisition(long actualEnd, long storeEra, long nowMillis) {
        observeEra(storeEra, nowMillis);
        if (storeEra == era) {
            logEnd = actualEnd;
            logEndKnownMillis = nowMillis;
        }
        backOff(nowMillis);
    }

    /**
     * Records that another node knows a later end of the log. The wait for that holder then begins when the other node
     * discovered this end and not with the first acquisition of this node.
     *
     * @param knownEnd the end that the other node knows
     * @param storeEra the epoch of the store in which it knows that end
     * @param ageMillis the minimum time for which it has known that end, in milliseconds
     * @param nowMillis the monotonic clock in milliseconds
     */
    public void observeLogEnd(long knownEnd, long storeEra, long ageMillis, long nowMillis) {
        observeEra(storeEra, nowMillis);
        if (storeEra == era && knownEnd > logEnd && !acquiring) {
            rejectAcquisition(knownEnd, storeEra, nowMillis - ageMillis);
        }
    }

    /**
     * Gets the time for which this node has known the end of the log.
     *
     * @param nowMillis the monotonic clock in milliseconds
     * @return the age in milliseconds
     */
    public long getLogEndAgeMillis(long nowMillis) {
        return nowMillis - logEndKnownMillis;
    }

    /**
     * Gets the last known end of the log.
     *
     * @return the end; 0 when none is known
     */
    public long getLogEnd() {
        return logEnd;
    }

    /**
     * Records that the log did not respond or that a worker knows a newer holder. The record may still be accepted
     * later.
     *
     * @param nowMillis the monotonic clock in milliseconds
     */
    public void abandonAcquisition(long nowMillis) {
        backOff(nowMillis);
    }

    private void backOff(long nowMillis) {
        acquiring = false;
        fencingToken = OptionalLong.empty();
        notBeforeMillis = nowMillis + leaseMillis + VALIDITY_MILLIS + DELIVERY_MARGIN_MILLIS;
    }

    /**
     * Finds the fencing token for an order.
     *
     * @param nowMillis the monotonic clock in milliseconds
     * @param wallMillis the wall clock in milliseconds
     * @return the token; empty when no order may be sent
     */
    public OptionalLong findFencingToken(long nowMillis, long wallMillis) {
        boolean monotonicValid = nowMillis - acquisitionMillis < VALIDITY_MILLIS;
        boolean wallValid = Math.abs(wallMillis - acquisitionWallMillis) < VALIDITY_MILLIS;
        return monotonicValid && wallValid ? fencingToken : OptionalLong.empty();
    }
}
