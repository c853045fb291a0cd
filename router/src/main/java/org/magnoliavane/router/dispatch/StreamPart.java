package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;

import org.magnoliavane.http.EventFramer;

/**
 * Frames what one worker writes of a stream, and selects the events that follow those that the caller has.
 *
 * <p>Not thread-safe.
 */
final class StreamPart {
    private final EventFramer framer = new EventFramer();
    private final StreamPosition position;
    private final boolean continues;
    private boolean hasEvents;
    private boolean faulty;

    /**
     * Creates a part.
     *
     * @param position the position of the stream, shared by all its parts
     * @param continues whether the worker was asked to continue after an earlier event
     */
    StreamPart(StreamPosition position, boolean continues) {
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
            boolean follows =
                    continues ? position.tryContinue(event.id(), !hasEvents) : position.tryAdvance(event.id());
            if (!follows) {
                faulty = true;
                break;
            }
            hasEvents = true;
            following.writeBytes(event.bytes());
        }
        return following.toByteArray();
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

    /** Gets the number of bytes that are buffered of an incomplete event. */
    int getPartialBytes() {
        return framer.getPartialBytes();
    }
}
