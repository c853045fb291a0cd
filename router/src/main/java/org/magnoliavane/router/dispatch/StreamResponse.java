package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.http.server.StreamWriter;

/**
 * Relays the events of successive workers to the caller as one response. Status and headers are those of the first worker;
 * nothing is sent before the first event.
 *
 * <p>Not thread-safe.
 */
final class StreamResponse {
    private static final int OK = 200;
    private static final String EVENT_STREAM = "text/event-stream";

    private final CallerResponse callerResponse;
    private final WireFormat wireFormat;
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private Optional<StreamWriter> writer = Optional.empty();
    private Optional<StreamPart> head = Optional.empty();

    StreamResponse(CallerResponse callerResponse, WireFormat wireFormat) {
        this.callerResponse = callerResponse;
        this.wireFormat = wireFormat;
    }

    /** Sets the worker whose status and headers the response gets, unless it has started. */
    void setHead(StreamPart part) {
        if (hasStarted() || head.filter(h -> h == part).isPresent()) {
            return;
        }
        head = Optional.of(part);
        errorBody.reset();
    }

    /** Returns whether a response without an event can be the rest of a stream that has ended. */
    static boolean mayBeEmptyRest(StreamPart part) {
        return part.getStatus() == OK && getMediaType(part.getHeaders()).equals(EVENT_STREAM);
    }

    /** Returns whether a worker's response can continue the stream, which has started: it is a stream of the same type. */
    boolean isContinuation(int workerStatus, Map<String, String> workerHeaders) {
        return workerStatus == OK && getMediaType(workerHeaders).equals(getMediaType(getHeaders()));
    }

    private static String getMediaType(Map<String, String> headers) {
        return headers.getOrDefault("content-type", "").split(";", 2)[0].trim().toLowerCase(Locale.ROOT);
    }

    /** Sends complete events to the caller. */
    void relayEvents(byte[] events) {
        if (writer.isEmpty()) {
            writer = callerResponse.beginStream(getStatus(), wireFormat.toCallerHeaders(getHeaders()));
        }
        writer.ifPresent(w -> w.write(events));
    }

    /** Collects the body of an error response. */
    void collectError(byte[] bytes) {
        errorBody.writeBytes(bytes);
    }

    /** Completes the response. */
    void complete() {
        if (writer.isPresent()) {
            writer.get().end();
        } else {
            callerResponse.send(getStatus(), wireFormat.toCallerHeaders(getHeaders()), errorBody.toByteArray());
        }
    }

    /** Returns whether an event has been sent to the caller. */
    boolean hasStarted() {
        return writer.isPresent();
    }

    int getStatus() {
        return head.map(StreamPart::getStatus).orElse(0);
    }

    private Map<String, String> getHeaders() {
        return head.map(StreamPart::getHeaders).orElse(Map.of());
    }

    /** Gets the number of bytes that the caller has not read yet. */
    long getUnreadBytes() {
        return writer.map(StreamWriter::getBufferedBytes).orElse(0L);
    }

    /** Gets the number of bytes that are buffered of an error response. */
    int getErrorBytes() {
        return errorBody.size();
    }
}
