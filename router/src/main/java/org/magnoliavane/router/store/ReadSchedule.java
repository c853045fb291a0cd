package org.magnoliavane.router.store;

/**
 * The times of the reads of a topic.
 *
 * @param waitMillis the time in milliseconds that the store holds a read open while nothing changes
 * @param intervalMillis the minimum time in milliseconds between the starts of two reads, so that frequent changes arrive in
 *     batches
 * @param responseMillis the time in milliseconds beyond the wait after which a read without a response is given up
 * @param slowResponseMillis the same while the store responds slowly; such reads are not held open
 * @param retryMillis the delay in milliseconds after the first failed read; it doubles with each further one
 * @param hedgeMillis the time in milliseconds beyond the wait after which a read without a response is late, and another one is
 *     sent beside it; none is sent if it is not less than {@code responseMillis}
 * @param overdueMillis the age in milliseconds of the last read, of this node or of others, up to which a node relies on what
 *     others read, and a read is held open at most
 */
public record ReadSchedule(
        long waitMillis,
        long intervalMillis,
        long responseMillis,
        long slowResponseMillis,
        long retryMillis,
        long hedgeMillis,
        long overdueMillis) {
    /** Time for which a read is held open, as a share of the time within which a change must be known. */
    private static final double WAIT_SHARE = 0.5;

    /** Minimum time between the starts of two reads, as a share of the same time. */
    private static final double INTERVAL_SHARE = 0.2;

    /** Time after which a read is given up, as a share of the same time. */
    private static final double RESPONSE_SHARE = 0.15;

    /** Time after which a read of a slow store is given up, as a share of the same time. */
    private static final double SLOW_RESPONSE_SHARE = 0.6;

    /**
     * Time after which a read is late, as a share of the same time. After three reads in a row without a response a fourth is sent
     * at 0.7 + 3 * 0.05 = 0.85 of it.
     */
    private static final double HEDGE_SHARE = 0.05;

    /** Lower bound of the time after which a read is late; a response over a loaded network takes tens of milliseconds. */
    private static final long MIN_HEDGE_MILLIS = 100;

    /** Delay of the first retry, as a share of the same time. */
    private static final double RETRY_SHARE = 0.05;

    /** Time for which a read of a topic with rare changes is held open, as a share of the time to notice lost connections. */
    private static final double RARE_WAIT_SHARE = 0.7;

    /** Age up to which a node relies on what others read of such a topic, as a share of the same time. */
    private static final double RARE_OVERDUE_SHARE = 0.75;

    /** Time after which a read of such a topic is given up, as a share of the same time. */
    private static final double RARE_RESPONSE_SHARE = 0.1;

    /** Lower bound of the time after which a read is given up; a response over a loaded network takes tens of milliseconds. */
    private static final long MIN_RESPONSE_MILLIS = 250;

    /** Time after which a read is given up if no bound is set for changes. */
    private static final long LONG_RESPONSE_MILLIS = 1500;

    private static final long LONG_RETRY_MILLIS = 150;

    /** Time beyond an open read after which its result is overdue, for the response of the store and the transfer. */
    private static final long OVERDUE_MARGIN_MILLIS = 500;

    /**
     * Creates a schedule without hedged reads.
     *
     * @param waitMillis as above
     * @param intervalMillis as above
     * @param responseMillis as above
     * @param slowResponseMillis as above
     * @param retryMillis as above
     * @param overdueMillis as above
     */
    public ReadSchedule(
            long waitMillis,
            long intervalMillis,
            long responseMillis,
            long slowResponseMillis,
            long retryMillis,
            long overdueMillis) {
        this(
                waitMillis,
                intervalMillis,
                responseMillis,
                slowResponseMillis,
                retryMillis,
                Long.MAX_VALUE,
                overdueMillis);
    }

    /**
     * Creates the schedule of a topic whose changes must be known within a time, also if one read gets no response:
     * interval, wait, the time after which that read is given up and the delay of its retry add up to nine tenths of it. A read that
     * is late gets others beside it before it is given up. A node
     * that has relied on others for interval and wait reads without a wait.
     *
     * @param millis the time in milliseconds
     * @return the schedule
     */
    public static ReadSchedule within(long millis) {
        return new ReadSchedule(
                (long) (WAIT_SHARE * millis),
                (long) (INTERVAL_SHARE * millis),
                Math.max(MIN_RESPONSE_MILLIS, (long) (RESPONSE_SHARE * millis)),
                Math.max(MIN_RESPONSE_MILLIS, (long) (SLOW_RESPONSE_SHARE * millis)),
                (long) (RETRY_SHARE * millis),
                Math.max(MIN_HEDGE_MILLIS, (long) (HEDGE_SHARE * millis)),
                (long) ((WAIT_SHARE + INTERVAL_SHARE) * millis));
    }

    /**
     * Creates the schedule of a topic that changes rarely, with reads that are held open.
     *
     * @param waitMillis the time in milliseconds that the store holds a read open
     * @param intervalMillis the minimum time in milliseconds between the starts of two reads
     * @return the schedule
     */
    public static ReadSchedule heldOpen(long waitMillis, long intervalMillis) {
        return new ReadSchedule(
                waitMillis,
                intervalMillis,
                LONG_RESPONSE_MILLIS,
                LONG_RESPONSE_MILLIS,
                LONG_RETRY_MILLIS,
                waitMillis + intervalMillis + OVERDUE_MARGIN_MILLIS);
    }

    /**
     * Creates the schedule of a topic that changes rarely, and whose changes must be known within a time after the open
     * connections to the store have gone silent. The age up to which a node relies on others, the time after which its own
     * first read is given up and the delay of its retry add up to nine tenths of it; a node that reads itself needs less.
     *
     * @param millis the time in milliseconds
     * @return the schedule
     */
    public static ReadSchedule heldOpenWithin(long millis) {
        return new ReadSchedule(
                (long) (RARE_WAIT_SHARE * millis),
                0,
                Math.max(MIN_RESPONSE_MILLIS, (long) (RARE_RESPONSE_SHARE * millis)),
                LONG_RESPONSE_MILLIS,
                (long) (RETRY_SHARE * millis),
                (long) (RARE_OVERDUE_SHARE * millis));
    }

    /** Returns whether others are sent beside a read that is late. */
    boolean isHedged() {
        return hedgeMillis < responseMillis;
    }

    /**
     * Gets the time for which the next read is held open.
     *
     * @param ageMillis the time in milliseconds since the topic was last read, by this node or by others
     * @return the time in milliseconds
     */
    long getWaitMillis(long ageMillis) {
        return Math.max(0, Math.min(waitMillis, overdueMillis - ageMillis));
    }
}
