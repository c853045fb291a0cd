package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.http.EventFramer;
import org.magnoliavane.http.server.StreamWriter;

/**
 * Relays the responses of successive workers to the caller as one response. Only complete events are forwarded. Status and
 * headers are those of the first worker; nothing is sent before the first event.
 *
 * <p>Not thread-safe.
 */
final class StreamResponse {
    private static final int FIRST_ERROR_STATUS = 300;

    private final CallerResponse callerResponse;
    private final WireFormat wireFormat;
    private final EventFramer framer = new EventFramer();
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private Optional<StreamWriter> writer = Optional.empty();
    private Map<String, String> headers = Map.of();
    private int status;

    StreamResponse(CallerResponse callerResponse, WireFormat wireFormat) {
        this.callerResponse = callerResponse;
        this.wireFormat = wireFormat;
    }

    /**
     * Handles the status and the headers of a worker's response.
     *
     * @return false if the response is an error and cannot continue the stream of another worker
     */
    boolean handleHead(int workerStatus, Map<String, String> workerHeaders) {
        if (hasStarted()) {
            return workerStatus < FIRST_ERROR_STATUS;
        }
        status = workerStatus;
        headers = workerHeaders;
        return true;
    }

    /**
     * Handles the next bytes of a worker's response.
     *
     * @return true if the bytes complete an event
     */
    boolean relayBytes(byte[] bytes) {
        if (isError()) {
            errorBody.writeBytes(bytes);
            return false;
        }
        byte[] events = framer.feed(bytes);
        if (events.length == 0) {
            return false;
        }
        if (writer.isEmpty()) {
            writer = callerResponse.beginStream(status, wireFormat.toCallerHeaders(headers));
        }
        writer.ifPresent(w -> w.write(events));
        return true;
    }

    /** Completes the response. */
    void complete() {
        if (writer.isPresent()) {
            writer.get().end();
        } else {
            callerResponse.send(status, wireFormat.toCallerHeaders(headers), errorBody.toByteArray());
        }
    }

    /** Returns whether an event has been sent to the caller. */
    boolean hasStarted() {
        return writer.isPresent();
    }

    /** Returns whether the worker responded with an error instead of a stream. */
    boolean isError() {
        return status >= FIRST_ERROR_STATUS;
    }

    int getStatus() {
        return status;
    }

    /** Gets the number of bytes that are buffered, of an incomplete event or of an error response. */
    int getBufferedBytes() {
        return framer.getPartialBytes() + errorBody.size();
    }

    boolean hasPartialEvent() {
        return framer.hasPartialEvent();
    }

    /** Discards what a worker has sent of an event or an error, because another one continues. */
    void discardPartialEvent() {
        framer.discardPartialEvent();
        errorBody.reset();
    }

    Optional<String> findLastEventId() {
        return framer.findLastId();
    }
}
