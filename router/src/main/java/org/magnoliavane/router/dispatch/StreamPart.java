package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.Map;

import org.magnoliavane.http.EventFramer;

/**
 * Frames what one worker writes of a stream, and selects the events that follow those that the caller has.
 *
 * <p>Not thread-safe.
 */
final class StreamPart {
    private static final int FIRST_ERROR_STATUS = 300;

    private final EventFramer framer = new EventFramer();
    private final int status;
    private final Map<String, String> headers;
    private final StreamPosition position;
    private final boolean continues;

    /** Comments before the first event, which do not begin a stream and do not prove that they continue one. */
    private final ByteArrayOutputStream heldComments = new ByteArrayOutputStream();

    private boolean hasEvents;
    private boolean faulty;

    /**
     * Creates a part.
     *
     * @param status the status of the worker's response
     * @param headers its headers
     * @param position the position of the stream, shared by all its parts
     * @param continues whether the worker was asked to continue after an earlier event
     */
    StreamPart(int status, Map<String, String> headers, StreamPosition position, boolean continues) {
        this.status = status;
        this.headers = headers;
        this.position = position;
        this.continues = continues;
    }

    /**
     * Handles the next bytes of the worker.
     *
     * @return the bytes of the events that are now complete and follow the last one; empty if there are none
     */
    byte[] feed(byte[] bytes) {
        ByteArrayOutputStream following = new ByteArrayOutputStream();
        for (EventFramer.Event event : framer.feed(bytes)) {
            if (event.comment()) {
                (hasEvents ? following : heldComments).writeBytes(event.bytes());
                continue;
            }
            boolean follows =
                    continues ? position.tryContinue(event.id(), !hasEvents) : position.tryAdvance(event.id());
            if (!follows) {
                faulty = true;
                break;
            }
            if (!hasEvents && !continues) {
                following.writeBytes(heldComments.toByteArray());
            }
            hasEvents = true;
            following.writeBytes(event.bytes());
        }
        return following.toByteArray();
    }

    int getStatus() {
        return status;
    }

    Map<String, String> getHeaders() {
        return headers;
    }

    /** Returns whether the worker responded with an error instead of a stream. */
    boolean isError() {
        return status >= FIRST_ERROR_STATUS;
    }

    /** Returns whether an event did not follow the last one. Nothing more of the worker may be relayed then. */
    boolean isFaulty() {
        return faulty;
    }

    /** Returns whether the worker has written an event. */
    boolean hasEvents() {
        return hasEvents;
    }

    boolean hasPartialEvent() {
        return framer.hasPartialEvent();
    }

    /** Gets the number of bytes that are buffered of an incomplete event and of comments before the first one. */
    int getBufferedBytes() {
        return framer.getPartialBytes() + (hasEvents ? 0 : heldComments.size());
    }
}
