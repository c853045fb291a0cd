package org.magnoliavane.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Controls a request and its response on their own connection.
 *
 * <p>Thread-safe.
 */
public final class HttpExchange implements AutoCloseable {
    private static final int SWITCHING_PROTOCOLS = 101;

    /** Largest number of interim responses; a faulty server may send them without end. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    /**
     * Time after which a connection whose end ends the response is checked for a reset. A server that closes it without having
     * read the whole request first ends it in order, and its host resets it at once.
     */
    private static final long RESET_WAIT_MILLIS = 30;

    private final ResponseListener listener;
    private final ScheduledExecutorService timers;
    private final boolean hasRequestBody;

    /** Checks received bytes; used by the thread that reads from the connection. */
    private final ResponseFramer framer;

    private final SerialExecutor serial = SerialExecutor.create(this::handleListenerFailure);
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicBoolean sendingDecided = new AtomicBoolean();
    private final AtomicBoolean failureNotified = new AtomicBoolean();
    private volatile boolean headReceived;
    private volatile boolean selfDelimited = true;
    private int interimResponses;

    /** Whether the request was written completely; used in {@link #serial} only. */
    private boolean requestWritten;

    private volatile Connection<?> connection;
    private volatile long lastReadNanos = System.nanoTime();
    private volatile Future<?> timeout;
    private volatile Future<?> connectTimeout;
    private boolean paused;
    private FilterChainContext suspended;

    HttpExchange(HttpRequest request, ResponseListener listener, ScheduledExecutorService timers) {
        this.listener = listener;
        this.timers = timers;
        hasRequestBody = request.body().length > 0;
        framer = ResponseFramer.forMethod(request.method());
    }

    /**
     * Closes the connection. {@link ResponseListener#onFailure} is called unless the exchange has already ended.
     */
    @Override
    public void close() {
        fail(new IOException("exchange closed by the client"));
    }

    /**
     * Gets the time since bytes were last received, or since the start of the exchange if none were.
     *
     * @return the time in milliseconds
     */
    public long getIdleMillis() {
        return (System.nanoTime() - lastReadNanos) / 1_000_000;
    }

    /** Stops reading from the connection after the bytes that are being received, until {@link #resumeReading}. */
    public synchronized void pauseReading() {
        paused = true;
    }

    /** Continues reading from the connection. */
    public void resumeReading() {
        FilterChainContext context;
        synchronized (this) {
            paused = false;
            context = suspended;
            suspended = null;
        }
        if (context != null) {
            context.resume(context.getStopAction());
        }
    }

    /** Suspends the processing of received bytes if reading is paused. */
    synchronized boolean trySuspend(FilterChainContext context) {
        if (!paused || ended.get()) {
            return false;
        }
        suspended = context;
        context.suspend();
        return true;
    }

    /** Sets the established connection, and closes it if the exchange has already ended. */
    void attach(Connection<?> opened) {
        connection = opened;
        if (ended.get()) {
            opened.closeSilently();
        }
    }

    /**
     * Commits to sending the request, unless the exchange has already failed, such as by the connect timeout.
     *
     * @return false if the request must not be sent
     */
    boolean tryStartSending() {
        Future<?> pending = connectTimeout;
        if (pending != null) {
            pending.cancel(false);
        }
        return sendingDecided.compareAndSet(false, true) && !ended.get();
    }

    /** Fails the exchange unless sending has started. If it fails, nothing has been sent and nothing will be sent. */
    void failUnlessSendingStarted(IOException cause) {
        if (sendingDecided.compareAndSet(false, true)) {
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

    /**
     * Checks received bytes. If they are no response, the exchange fails, unless it has ended before.
     *
     * @return the bytes to parse; empty if there are none
     */
    Optional<byte[]> check(ByteBuffer bytes) {
        // Bytes that arrive before the request is sent cannot be its response.
        if (!sendingDecided.get()) {
            failUnlessSendingStarted(new WithdrawnException("the server sent a response before the request"));
        }
        if (ended.get()) {
            return Optional.empty();
        }
        try {
            return Optional.of(framer.check(bytes)).filter(b -> b.length > 0);
        } catch (MalformedResponseException e) {
            failAfterReceived(e);
            return Optional.empty();
        }
    }

    void receive(HttpContent content) {
        lastReadNanos = System.nanoTime();
        if (ended.get()) {
            return;
        }
        HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
        int status = head.getStatus();
        if (InterimResponseFilter.isInterim(status)) {
            skipInterimResponse(status);
            return;
        }
        Map<String, String> headers = headReceived ? Map.of() : toHeaderMap(head);
        Buffer buffer = content.getContent();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        boolean last = content.isLast();
        selfDelimited = head.isChunked() || head.getContentLength() >= 0;
        serial.execute(() -> deliver(status, headers, bytes, last));
    }

    /** Skips a response that announces the final one; no other with such a status can be the answer to a request. */
    private void skipInterimResponse(int status) {
        interimResponses++;
        if (status == SWITCHING_PROTOCOLS || interimResponses > MAX_INTERIM_RESPONSES) {
            fail(new IOException("interim response " + interimResponses + " with status " + status));
        }
    }

    /**
     * Handles the end of the connection. In order, it completes a response that has neither a content length nor chunked encoding,
     * unless the server has not read the whole request: what it sent before it gave up is no complete response. In all other
     * cases the exchange fails unless it has already ended.
     *
     * @param orderly false if the connection was reset
     * @return whether the connection must be kept open to find out whether it will be reset
     */
    boolean handleConnectionEnd(boolean orderly) {
        if (orderly && !selfDelimited) {
            serial.execute(this::handleUndelimitedEnd);
            return true;
        }
        failAfterReceived(new IOException("connection closed by the server"));
        return false;
    }

    private void handleUndelimitedEnd() {
        if (requestWritten && !hasRequestBody) {
            completeByClose();
            return;
        }
        timers.schedule(() -> serial.execute(this::completeUnlessReset), RESET_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void completeUnlessReset() {
        if (ended.get()) {
            return;
        }
        Connection<?> current = connection;
        if (requestWritten && !ResetDetectingFilter.isReset(current)) {
            completeByClose();
            return;
        }
        // Parts of the request may wait to be written.
        current.terminateSilently();
        fail(new IOException("connection closed by the server before it had read the whole request"));
    }

    /** Handles the end of writing the request, which may be noticed after the end of its connection. */
    void handleRequestWritten() {
        serial.execute(() -> requestWritten = true);
    }

    private void completeByClose() {
        if (ended.compareAndSet(false, true)) {
            release();
            listener.onEnd();
        }
    }

    /** Fails the exchange unless what was received before is its complete response. */
    void failAfterReceived(IOException cause) {
        serial.execute(() -> fail(cause));
    }

    void fail(IOException cause) {
        if (ended.compareAndSet(false, true)) {
            try {
                release();
            } finally {
                serial.execute(() -> notifyFailure(cause));
            }
        }
    }

    /** Notifies a listener whose handling of the response has failed, also when the response is complete. */
    private void handleListenerFailure(Throwable failure) {
        ended.set(true);
        release();
        notifyFailure(new IOException("the response could not be handled", failure));
    }

    private void notifyFailure(IOException cause) {
        if (failureNotified.compareAndSet(false, true)) {
            listener.onFailure(cause);
        }
    }

    private void deliver(int status, Map<String, String> headers, byte[] bytes, boolean last) {
        if (ended.get()) {
            return;
        }
        if (!headReceived) {
            headReceived = true;
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

    private static Map<String, String> toHeaderMap(HttpResponsePacket head) {
        Map<String, String> headers = new HashMap<>();
        for (String name : head.getHeaders().names()) {
            headers.put(name.toLowerCase(Locale.ROOT), head.getHeader(name));
        }
        return headers;
    }
}
