package org.magnoliavane.emulator.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * Writes server-sent events without blocking.
 *
 * <p>Not thread-safe: only one thread may write at a time. A close of the connection may be reported by any thread.
 */
public final class EventStream {
    private final Response response;
    private final NIOOutputStream output;
    private final BooleanSupplier unresponsive;
    private final AtomicBoolean closed = new AtomicBoolean();

    EventStream(Response response, BooleanSupplier unresponsive) {
        this.response = response;
        this.unresponsive = unresponsive;
        response.setStatus(200);
        response.setContentType("text/event-stream");
        response.setHeader("Cache-Control", "no-cache");
        output = response.getNIOOutputStream();
    }

    /**
     * Returns whether the reader keeps up, so that an event can be written without being buffered. An unresponsive
     * connection counts as keeping up, because nothing is written to it.
     *
     * @return true when an event may be written
     */
    public boolean canWrite() {
        return !closed.get() && (unresponsive.getAsBoolean() || output.canWrite());
    }

    /**
     * Writes an event without an id.
     *
     * @param event the event type
     * @param data the value written as JSON
     */
    public void write(String event, Object data) {
        writeText("event: " + event + "\ndata: " + Json.toJson(data) + "\n\n");
    }

    /**
     * Writes an event with an id.
     *
     * @param id the event id
     * @param event the event type
     * @param data the value written as JSON
     */
    public void write(long id, String event, Object data) {
        writeText("id: " + id + "\nevent: " + event + "\ndata: " + Json.toJson(data) + "\n\n");
    }

    /** Writes a comment line as a keep-alive. */
    public void writeComment() {
        writeText(": alive\n\n");
    }

    /** Ends the stream; does nothing when it has ended or its connection is closed. */
    public void end() {
        if (closed.compareAndSet(false, true) && !unresponsive.getAsBoolean()) {
            response.resume();
        }
    }

    boolean markClosed() {
        return closed.compareAndSet(false, true);
    }

    private void writeText(String text) {
        if (closed.get() || unresponsive.getAsBoolean()) {
            return;
        }
        try {
            output.write(text.getBytes(StandardCharsets.UTF_8));
            output.flush();
        } catch (IOException e) {
            // The close listener of the connection reports the failure.
            return;
        }
    }
}
