package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.http.EventFramer;
import org.magnoliavane.http.server.StreamWriter;

/**
 * Puts together the answer to a caller from the answers of one worker after another. Only whole events are passed on; the
 * head is that of the first worker. Until the first event, nothing has been sent.
 *
 * <p>Not thread-safe.
 */
final class StreamAnswer {
    private static final int FIRST_ERROR_STATUS = 300;

    private final CallerResponse answer;
    private final WireFormat wire;
    private final EventFramer framer = new EventFramer();
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private Optional<StreamWriter> writer = Optional.empty();
    private Map<String, String> headers = Map.of();
    private int status;

    StreamAnswer(CallerResponse answer, WireFormat wire) {
        this.answer = answer;
        this.wire = wire;
    }

    /**
     * Takes the head of a worker's answer.
     *
     * @return false when it is an error that can't go on where another worker stopped
     */
    boolean takeHead(int workerStatus, Map<String, String> workerHeaders) {
        if (isBegun()) {
            return workerStatus < FIRST_ERROR_STATUS;
        }
        status = workerStatus;
        headers = workerHeaders;
        return true;
    }

    /**
     * Takes the next bytes of a worker's answer.
     *
     * @return true when they complete an event
     */
    boolean takeBytes(byte[] bytes) {
        if (isError()) {
            errorBody.writeBytes(bytes);
            return false;
        }
        byte[] events = framer.feed(bytes);
        if (events.length == 0) {
            return false;
        }
        if (writer.isEmpty()) {
            writer = answer.beginStream(status, wire.toCallerHeaders(headers));
        }
        writer.ifPresent(w -> w.write(events));
        return true;
    }

    /** Ends the answer as complete. */
    void finish() {
        if (writer.isPresent()) {
            writer.get().end();
        } else {
            answer.send(status, wire.toCallerHeaders(headers), errorBody.toByteArray());
        }
    }

    /** Says whether an event has been sent to the caller. */
    boolean isBegun() {
        return writer.isPresent();
    }

    /** Says whether the worker answered with an error in place of a stream. */
    boolean isError() {
        return status >= FIRST_ERROR_STATUS;
    }

    int getStatus() {
        return status;
    }

    boolean isWithinEvent() {
        return framer.hasPartialEvent();
    }

    void dropOpenEvent() {
        framer.discardPartialEvent();
    }

    Optional<String> findLastEventId() {
        return framer.findLastId();
    }
}
