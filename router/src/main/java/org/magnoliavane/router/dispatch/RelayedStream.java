package org.magnoliavane.router.dispatch;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Holds the stream as its caller has it: the response, the position of the last event, and the times of the events.
 *
 * <p>Not thread-safe; called on the executor of the request, except for {@link #hasStarted}, which the threads of the admission
 * queue call too and which may be outdated there.
 */
final class RelayedStream {
    private final StreamResponse response;

    /** The id of the last event that the caller already had when it sent the request. */
    private final Optional<String> resumedAfterId;

    /** The last event that the caller has. */
    private final StreamPosition position;

    private final LongSupplier clockMillis;
    private long firstEventMillis;
    private long lastEventMillis;

    /** Time of the last event, or of the start of the only decode, or of its replacement. */
    private long lastProgressMillis;

    private long longestPauseMillis;

    RelayedStream(DispatchContext context, CallerRequest request, CallerResponse callerResponse) {
        this.response = new StreamResponse(callerResponse, context.wireFormat());
        this.resumedAfterId = request.metadata().lastEventId();
        this.position =
                StreamPosition.after(resumedAfterId.filter(id -> request.route().resumable()));
        this.clockMillis = context.clockMillis();
    }

    StreamResponse getResponse() {
        return response;
    }

    StreamPosition getPosition() {
        return position;
    }

    /** Returns whether an event has been sent to the caller. */
    boolean hasStarted() {
        return response.hasStarted();
    }

    /** Returns whether another worker could tell where the stream goes on. */
    boolean canContinueElsewhere() {
        return !hasStarted() || position.isKnown();
    }

    /** Returns whether the caller resumes a stream, and has received no event yet. */
    boolean isResumedByCaller() {
        return !hasStarted() && position.isKnown();
    }

    /** Finds the id of the event after which a worker has to continue. */
    Optional<String> findLastEventId() {
        return position.findLastId().or(() -> resumedAfterId);
    }

    /** Sends complete events to the caller. */
    void relayEvents(byte[] events) {
        boolean started = hasStarted();
        response.relayEvents(events);
        if (started) {
            longestPauseMillis = Math.max(longestPauseMillis, clockMillis.getAsLong() - lastEventMillis);
        }
        lastEventMillis = clockMillis.getAsLong();
        lastProgressMillis = lastEventMillis;
        if (!started) {
            firstEventMillis = lastEventMillis;
        }
    }

    /** Starts the pause anew, since another worker writes the stream. */
    void restartPause() {
        lastProgressMillis = clockMillis.getAsLong();
    }

    /** Gets the time since the last event or since another worker began to write the stream, in milliseconds. */
    long getPauseMillis() {
        return clockMillis.getAsLong() - lastProgressMillis;
    }

    /** Gets the time of the last event; 0 if there is none. */
    long getLastEventMillis() {
        return lastEventMillis;
    }

    /** Gets the time from the first event to the last one, in milliseconds. */
    long getEventsMillis() {
        return lastEventMillis - firstEventMillis;
    }

    /** Gets the longest time between two events, in milliseconds. */
    long getLongestPauseMillis() {
        return longestPauseMillis;
    }
}
