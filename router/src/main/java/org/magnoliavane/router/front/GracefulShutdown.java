package org.magnoliavane.router.front;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.magnoliavane.routing.RequestKind;

/**
 * Decides which requests a node accepts while it shuts down: only those that it can answer before the process ends. Derives all
 * times of a shutdown from its grace period.
 *
 * <p>Thread-safe.
 */
public final class GracefulShutdown {
    /** Longest time after the request to stop during which streams are accepted. Streams last for seconds. */
    private static final long MAX_STREAM_ACCEPT_MILLIS = 2500;

    /** Longest time before the end of the grace period at which the process exits even with active requests. */
    private static final long MAX_EXIT_MARGIN_MILLIS = 600;

    /** Time after which callers of a node that is shutting down may retry; they retry at another node. */
    public static final long RETRY_AFTER_MILLIS = 50;

    /** Longest time before the exit by which requests without a response are answered. */
    private static final long MAX_RESPONSE_MARGIN_MILLIS = 300;

    /**
     * Longest time before the exit at which the node stops reading, to write the last responses. Half of the time that other
     * requests have: those that are read last are refused at once.
     */
    private static final long MAX_READING_MARGIN_MILLIS = 150;

    private static final int STREAM_ACCEPT_DIVISOR = 3;
    private static final int EXIT_MARGIN_DIVISOR = 12;
    private static final int RESPONSE_MARGIN_DIVISOR = 24;
    private static final int READING_MARGIN_DIVISOR = 48;

    private final AtomicReference<Schedule> schedule = new AtomicReference<>();
    private final AtomicBoolean accepts = new AtomicBoolean(true);

    /**
     * Describes when the parts of a shutdown end, in milliseconds of the clock of {@link #start}.
     *
     * @param streamsUntilMillis the time until which streams are accepted
     * @param answerByMillis the time at which requests without a response are answered
     * @param stopReadingMillis the time from which nothing is read
     * @param exitMillis the time at which the process exits
     */
    public record Schedule(long streamsUntilMillis, long answerByMillis, long stopReadingMillis, long exitMillis) {
        /**
         * Derives the times from a grace period.
         *
         * @param startMillis the time of the request to stop
         * @param graceMillis the time from the request to stop after which the process is killed
         * @return the times
         */
        static Schedule within(long startMillis, long graceMillis) {
            long exitMillis =
                    startMillis + graceMillis - Math.min(MAX_EXIT_MARGIN_MILLIS, graceMillis / EXIT_MARGIN_DIVISOR);
            return new Schedule(
                    startMillis + Math.min(MAX_STREAM_ACCEPT_MILLIS, graceMillis / STREAM_ACCEPT_DIVISOR),
                    exitMillis - Math.min(MAX_RESPONSE_MARGIN_MILLIS, graceMillis / RESPONSE_MARGIN_DIVISOR),
                    exitMillis - Math.min(MAX_READING_MARGIN_MILLIS, graceMillis / READING_MARGIN_DIVISOR),
                    exitMillis);
        }
    }

    /**
     * Starts the shutdown. Later calls have no effect.
     *
     * @param nowMillis the current time in milliseconds
     * @param graceMillis the time in milliseconds after which the process is killed
     * @return false if the shutdown was started before
     */
    public boolean start(long nowMillis, long graceMillis) {
        return schedule.compareAndSet(null, Schedule.within(nowMillis, graceMillis));
    }

    /**
     * Returns whether the node is shutting down.
     *
     * @return true after {@link #start}
     */
    public boolean isShuttingDown() {
        return schedule.get() != null;
    }

    /**
     * Gets the times of the shutdown, which must have been started.
     *
     * @return the times
     */
    public Schedule getSchedule() {
        return schedule.get();
    }

    /** Ends the acceptance of requests. Called when the process is about to end although it could still accept some. */
    public void stopAccepting() {
        accepts.set(false);
    }

    /**
     * Limits a wait so that it ends while the request can still be answered.
     *
     * @param nowMillis the current time in milliseconds
     * @param waitMillis the duration of the wait in milliseconds
     * @return the limited duration, at least 0
     */
    public long limitWait(long nowMillis, long waitMillis) {
        Schedule times = schedule.get();
        return times == null ? waitMillis : Math.max(0, Math.min(waitMillis, times.answerByMillis() - nowMillis));
    }

    /**
     * Returns whether a request can be answered before the process ends.
     *
     * @param kind the kind of the request
     * @param deadlineMillis the time at which the request is answered at the latest
     * @param nowMillis the current time in milliseconds
     * @return false if the caller should send the request to another node
     */
    public boolean canAccept(RequestKind kind, long deadlineMillis, long nowMillis) {
        Schedule times = schedule.get();
        if (times == null) {
            return true;
        }
        if (!accepts.get()) {
            return false;
        }
        return kind == RequestKind.STREAM
                ? nowMillis <= times.streamsUntilMillis()
                : deadlineMillis <= times.answerByMillis();
    }
}
