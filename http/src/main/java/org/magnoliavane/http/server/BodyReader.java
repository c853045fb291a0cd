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
 * Reads the body of a request without blocking, up to a size and within a time.
 *
 * <p>Thread-safe.
 */
public final class BodyReader implements ReadHandler {
    /** Why a body could not be read. */
    public enum Failure {
        /** The body is larger than allowed. */
        TOO_LARGE,
        /** The body ended early or is malformed. */
        MALFORMED,
        /** The body did not arrive in time. */
        TOO_SLOW
    }

    private final NIOInputStream in;
    private final int limit;
    private final Consumer<byte[]> onBody;
    private final Consumer<Failure> onFailure;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final AtomicBoolean finished = new AtomicBoolean();
    private volatile ScheduledFuture<?> timer;

    private BodyReader(NIOInputStream in, int limit, Consumer<byte[]> onBody, Consumer<Failure> onFailure) {
        this.in = in;
        this.limit = limit;
        this.onBody = onBody;
        this.onFailure = onFailure;
    }

    /**
     * Starts to read. Exactly one of the two consumers is called, once.
     *
     * @param request the request, which must be suspended
     * @param limitBytes the largest body
     * @param timeoutMillis the time within which the body must have arrived
     * @param timers runs the timeout
     * @param onBody takes the whole body
     * @param onFailure takes the reason when there is none
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
        reader.begin();
        reader.limitTime(timers, timeoutMillis);
    }

    private void begin() {
        try {
            onDataAvailable();
        } catch (IOException e) {
            onError(e);
        }
    }

    @Override
    public void onDataAvailable() throws IOException {
        if (!take()) {
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
        if (take()) {
            finish();
        }
    }

    @Override
    public void onError(Throwable cause) {
        fail(Failure.MALFORMED);
    }

    private void limitTime(ScheduledExecutorService timers, long timeoutMillis) {
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
        ScheduledFuture<?> pending = timer;
        if (pending != null) {
            pending.cancel(false);
        }
    }

    private boolean take() throws IOException {
        byte[] part = new byte[in.readyData()];
        int length = part.length == 0 ? 0 : in.read(part);
        body.write(part, 0, Math.max(0, length));
        if (body.size() <= limit) {
            return true;
        }
        fail(Failure.TOO_LARGE);
        return false;
    }
}
