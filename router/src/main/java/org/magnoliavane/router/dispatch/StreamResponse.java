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
    private static final int FIRST_ERROR_STATUS = 300;

    private final CallerResponse callerResponse;
    private final WireFormat wireFormat;
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private Optional<StreamWriter> writer = Optional.empty();
    private Map<String, String> headers = Map.of();
    private int status;

    StreamResponse(CallerResponse callerResponse, WireFormat wireFormat) {
        this.callerResponse = callerResponse;
        this.wireFormat = wireFormat;
    }

    /** Sets the status and the headers of a response that has not started. */
    void setHead(int workerStatus, Map<String, String> workerHeaders) {
        status = workerStatus;
        headers = workerHeaders;
        errorBody.reset();
    }

    /** Returns whether a worker's response can continue the stream, which has started: it is a stream of the same type. */
    boolean isContinuation(int workerStatus, Map<String, String> workerHeaders) {
        return workerStatus == OK && getMediaType(workerHeaders).equals(getMediaType(headers));
    }

    private static String getMediaType(Map<String, String> headers) {
        return headers.getOrDefault("content-type", "").split(";", 2)[0].trim().toLowerCase(Locale.ROOT);
    }

    /** Sends complete events to the caller. */
    void relayEvents(byte[] events) {
        if (writer.isEmpty()) {
            writer = callerResponse.beginStream(status, wireFormat.toCallerHeaders(headers));
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

    /** Gets the number of bytes that are buffered of an error response. */
    int getErrorBytes() {
        return errorBody.size();
    }
}
