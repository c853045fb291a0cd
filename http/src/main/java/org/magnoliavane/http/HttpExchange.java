package org.magnoliavane.http;

import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Controls one exchange on its own connection.
 *
 * <p>Thread-safe.
 */
public final class HttpExchange implements AutoCloseable {
    private final ResponseListener listener;
    private final SerialExecutor calls = SerialExecutor.create();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicBoolean sendDecided = new AtomicBoolean();
    private volatile boolean headSeen;
    private volatile boolean framed = true;
    private volatile Connection<?> connection;
    private volatile long lastReadNanos = System.nanoTime();
    private volatile Future<?> timeout;
    private volatile Future<?> connectTimeout;

    HttpExchange(ResponseListener listener) {
        this.listener = listener;
    }

    /**
     * Closes the connection. The listener gets {@link ResponseListener#onFailure} unless the response has ended.
     */
    @Override
    public void close() {
        fail(new IOException("exchange closed by the client"));
    }

    /**
     * Gets the time since the last bytes were received, or since the start.
     *
     * @return the time in milliseconds
     */
    public long getIdleMillis() {
        return (System.nanoTime() - lastReadNanos) / 1_000_000;
    }

    void attach(Connection<?> opened) {
        connection = opened;
        if (ended.get()) {
            opened.closeSilently();
        }
    }

    /**
     * Decides that the request is written, unless its connection came too late.
     *
     * @return false when the exchange has failed before
     */
    boolean beginSend() {
        Future<?> pending = connectTimeout;
        if (pending != null) {
            pending.cancel(false);
        }
        return sendDecided.compareAndSet(false, true) && !ended.get();
    }

    /** Fails the exchange when no connection is open yet, so that nothing has been or will be sent. */
    void failUnlessSending(IOException cause) {
        if (sendDecided.compareAndSet(false, true)) {
            fail(cause);
        }
    }

    void setConnectTimeout(Future<?> pending) {
        connectTimeout = pending;
    }

    void setTimeout(Future<?> pending) {
        timeout = pending;
        if (ended.get()) {
            pending.cancel(false);
        }
    }

    void receive(HttpContent content) {
        lastReadNanos = System.nanoTime();
        if (ended.get()) {
            return;
        }
        HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
        int status = head.getStatus();
        Map<String, String> headers = headSeen ? Map.of() : headersOf(head);
        Buffer buffer = content.getContent();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        boolean last = content.isLast();
        framed = head.isChunked() || head.getContentLength() >= 0;
        calls.execute(() -> deliver(status, headers, bytes, last));
    }

    /**
     * Takes the end of the connection. It is the regular end of a response that states neither a length nor chunks, if the
     * server has not reset the connection.
     *
     * @param orderly false after a reset
     */
    void closed(boolean orderly) {
        calls.execute(() -> {
            if (orderly && headSeen && !framed && ended.compareAndSet(false, true)) {
                release();
                listener.onEnd();
            }
        });
        calls.execute(() -> fail(new IOException("connection closed by the server")));
    }

    void fail(IOException cause) {
        if (ended.compareAndSet(false, true)) {
            release();
            calls.execute(() -> listener.onFailure(cause));
        }
    }

    private void deliver(int status, Map<String, String> headers, byte[] bytes, boolean last) {
        if (ended.get()) {
            return;
        }
        if (!headSeen) {
            headSeen = true;
            listener.onHead(status, headers);
        }
        if (bytes.length > 0) {
            listener.onBytes(bytes);
        }
        if (last && ended.compareAndSet(false, true)) {
            release();
            listener.onEnd();
        }
    }

    private void release() {
        Future<?> pending = timeout;
        if (pending != null) {
            pending.cancel(false);
        }
        Connection<?> current = connection;
        if (current != null) {
            current.closeSilently();
        }
    }

    private static Map<String, String> headersOf(HttpResponsePacket head) {
        Map<String, String> headers = new HashMap<>();
        for (String name : head.getHeaders().names()) {
            headers.put(name.toLowerCase(Locale.ROOT), head.getHeader(name));
        }
        return headers;
    }
}
