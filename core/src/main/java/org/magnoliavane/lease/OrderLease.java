package org.magnoliavane.lease;

import java.util.OptionalLong;

/**
 * The right to give orders for a moment. It is won by a record that a log accepts only at its expected end; the new end of
 * the log is the fencing token. Whoever finds that another holder has written waits until that holder's right has long run
 * out before it tries again, so that orders of two holders never come within one lease of each other.
 *
 * <p>Not thread-safe. Takes two clocks: the steady one stands still while a VM is frozen, the time of day may be set.
 */
public final class OrderLease {
    /** Time from the sending of the record within which orders may be sent. */
    private static final long VALID_MILLIS = 1000;

    /** Further wait before another holder's right is taken to be over, for delays on the way. */
    private static final long MARGIN_MILLIS = 500;

    private final long leaseMillis;
    private long end;
    private long endKnownMillis;
    private long notBeforeMillis = Long.MIN_VALUE;
    private boolean trying;
    private long tryMillis;
    private long tryWallMillis;
    private OptionalLong fence = OptionalLong.empty();

    /**
     * Creates a right that is not held.
     *
     * @param leaseMillis the time within which two holders must not both give orders; 0 for no orders at all
     */
    public OrderLease(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Starts a try, if one is allowed now.
     *
     * @param nowMillis the steady clock
     * @param wallMillis the time of day
     * @return the end at which the log must accept the record; empty when no try is allowed
     */
    public OptionalLong startAcquisition(long nowMillis, long wallMillis) {
        if (leaseMillis <= 0 || trying || nowMillis < notBeforeMillis) {
            return OptionalLong.empty();
        }
        trying = true;
        tryMillis = nowMillis;
        tryWallMillis = wallMillis;
        fence = OptionalLong.empty();
        return OptionalLong.of(end);
    }

    /**
     * Takes note that the log has accepted the record.
     *
     * @param newEnd the end of the log after it
     */
    public void completeAcquisition(long newEnd) {
        trying = false;
        end = newEnd;
        endKnownMillis = tryMillis;
        fence = OptionalLong.of(newEnd);
    }

    /**
     * Takes note that the log ended elsewhere, because another holder has written.
     *
     * @param actualEnd the end of the log
     * @param nowMillis the steady clock
     */
    public void rejectAcquisition(long actualEnd, long nowMillis) {
        end = actualEnd;
        endKnownMillis = nowMillis;
        waitForOthers(nowMillis);
    }

    /**
     * Takes note that another node knows of a later end of the log, so that the wait for that holder begins when the other
     * node learned of it and not with the first try of this node.
     *
     * @param knownEnd the end that the other node knows
     * @param ageMillis how long it has known it, at least
     * @param nowMillis the steady clock
     */
    public void observeLogEnd(long knownEnd, long ageMillis, long nowMillis) {
        if (knownEnd > end && !trying) {
            rejectAcquisition(knownEnd, nowMillis - ageMillis);
        }
    }

    /**
     * Gets the time for which this node has known the end.
     *
     * @param nowMillis the steady clock
     * @return the age in milliseconds
     */
    public long getLogEndAgeMillis(long nowMillis) {
        return nowMillis - endKnownMillis;
    }

    /**
     * Gets the end of the log as far as known.
     *
     * @return the end; 0 when nothing is known
     */
    public long getLogEnd() {
        return end;
    }

    /**
     * Takes note that the log did not answer, or that a worker knows of a newer holder. The record may be accepted later.
     *
     * @param nowMillis the steady clock
     */
    public void abandonAcquisition(long nowMillis) {
        waitForOthers(nowMillis);
    }

    private void waitForOthers(long nowMillis) {
        trying = false;
        fence = OptionalLong.empty();
        notBeforeMillis = nowMillis + leaseMillis + VALID_MILLIS + MARGIN_MILLIS;
    }

    /**
     * Gets the fencing token for an order.
     *
     * @param nowMillis the steady clock
     * @param wallMillis the time of day
     * @return the token; empty when no order may be sent
     */
    public OptionalLong findFencingToken(long nowMillis, long wallMillis) {
        boolean steadyValid = nowMillis - tryMillis < VALID_MILLIS;
        boolean wallValid = Math.abs(wallMillis - tryWallMillis) < VALID_MILLIS;
        return steadyValid && wallValid ? fence : OptionalLong.empty();
    }
}
