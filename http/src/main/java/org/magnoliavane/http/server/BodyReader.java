package org.magnoliavane.http.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;

/**
 * Reads the body of a request without blocking, with a maximum size and a timeout.
 *
 * <p>Thread-safe.
 */
public final class BodyReader implements ReadHandler {
    /** Reasons why a body could not be read. */
    public enum Failure {
        /** The body exceeds the maximum size. */
        TOO_LARGE,
        /** The body is incomplete or malformed, or the connection failed. */
        MALFORMED,
        /** The body was not complete within the timeout. */
        TOO_SLOW
    }

    private final NIOInputStream in;
    private final int limitBytes;
    private final Consumer<byte[]> onBody;
    private final Consumer<Failure> onFailure;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final AtomicBoolean finished = new AtomicBoolean();
    private volatile ScheduledFuture<?> timer;

    private BodyReader(NIOInputStream in, int limitBytes, Consumer<byte[]> onBody, Consumer<Failure> onFailure) {
        this.in = in;
        this.limitBytes = limitBytes;
        this.onBody = onBody;
        this.onFailure = onFailure;
    }

    /**
     * Starts reading. Exactly one of the two consumers is called, exactly once.
     *
     * @param request the request; its response must be suspended
     * @param limitBytes the maximum size of the body in bytes
     * @param timeoutMillis the time in milliseconds within which the body must be complete
     * @param timers the executor of the timeout
     * @param onBody receives the complete body
     * @param onFailure receives the reason if the body could not be read
     */
    public static void read(
            Request request,
            int limitBytes,
            long timeoutMillis,
            ScheduledExecutorService timers,
            Consumer<byte[]> onBody,
            Consumer<Failure> onFailure) {
        if (request.getContentLengthLong() > limitBytes) {
            onFailure.accept(Failure.TOO_LARGE);
            return;
        }
        BodyReader reader = new BodyReader(request.getNIOInputStream(), limitBytes, onBody, onFailure);
        reader.start();
        reader.startTimer(timers, timeoutMillis);
    }

    private void start() {
        try {
            onDataAvailable();
        } catch (IOException e) {
            onError(e);
        }
    }

    @Override
    public void onDataAvailable() throws IOException {
        if (!readAvailable()) {
            return;
        }
        if (in.isFinished()) {
            finish();
        } else {
            in.notifyAvailable(this);
        }
    }

    @Override
    public void onAllDataRead() throws IOException {
        if (readAvailable()) {
            finish();
        }
    }

    @Override
    public void onError(Throwable cause) {
        fail(Failure.MALFORMED);
    }

    private void startTimer(ScheduledExecutorService timers, long timeoutMillis) {
        if (finished.get()) {
            return;
        }
        timer = timers.schedule(() -> fail(Failure.TOO_SLOW), timeoutMillis, TimeUnit.MILLISECONDS);
        if (finished.get()) {
            timer.cancel(false);
        }
    }

    private void fail(Failure failure) {
        if (finished.compareAndSet(false, true)) {
            cancelTimer();
            onFailure.accept(failure);
        }
    }

    private void finish() {
        if (finished.compareAndSet(false, true)) {
            cancelTimer();
            onBody.accept(body.toByteArray());
        }
    }

    private void cancelTimer() {
        ScheduledFuture<?> current = timer;
        if (current != null) {
            current.cancel(false);
        }
    }

    private boolean readAvailable() throws IOException {
        byte[] chunk = new byte[in.readyData()];
        int length = chunk.length == 0 ? 0 : in.read(chunk);
        body.write(chunk, 0, Math.max(0, length));
        if (body.size() <= limitBytes) {
            return true;
        }
        fail(Failure.TOO_LARGE);
        return false;
    }
}
