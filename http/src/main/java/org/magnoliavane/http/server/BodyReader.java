package org.magnoliavane.http.server;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;
import org.magnoliavane.budget.BudgetedBuffer;
import org.magnoliavane.budget.ByteBudget.Allocation;
import org.magnoliavane.http.SerialExecutor;

/**
 * Reads the body of a request without blocking, with a maximum size, within a budget and a timeout. A body for which there
 * is no room is received and discarded: closing a connection with unread bytes would reset it, and the caller might not
 * get the refusal.
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
        TOO_SLOW,
        /** The budget has no room for the body. */
        NO_ROOM,
        /** The reader itself failed. */
        INTERNAL
    }

    private static final Logger LOG = System.getLogger(BodyReader.class.getName());

    /** Size of the parts in which bytes are read from a connection or discarded. */
    private static final int PART_BYTES = 16 * 1024;

    /** Lets each part of a body be read after the one before, not within the call that reads it. */
    private final SerialExecutor serial = SerialExecutor.create(this::onError);

    private final NIOInputStream in;
    private final int limitBytes;
    private final Allocation allocation;
    private final Consumer<byte[]> onBody;
    private final Consumer<Failure> onFailure;
    private final AtomicBoolean finished = new AtomicBoolean();
    private final Optional<byte[]> known;
    private final BudgetedBuffer parts = BudgetedBuffer.create();
    private int size;
    private boolean discarding;
    private volatile ScheduledFuture<?> timer;

    private BodyReader(
            Request request,
            int limitBytes,
            Allocation allocation,
            Consumer<byte[]> onBody,
            Consumer<Failure> onFailure) {
        this.in = request.getNIOInputStream();
        this.limitBytes = limitBytes;
        this.allocation = allocation;
        this.onBody = onBody;
        this.onFailure = onFailure;
        long length = request.getContentLengthLong();
        this.discarding = length > 0 && !allocation.tryGrow(length);
        this.known = length >= 0 && !discarding ? Optional.of(new byte[(int) length]) : Optional.empty();
    }

    /**
     * Starts reading. Exactly one of the two consumers is called, exactly once.
     *
     * @param request the request; its response must be suspended
     * @param limitBytes the maximum size of the body in bytes
     * @param timeoutMillis the time in milliseconds within which the body must be complete
     * @param timers the executor of the timeout
     * @param allocation allocates the body; the caller of this method closes it
     * @param onBody receives the complete body
     * @param onFailure receives the reason if the body could not be read
     */
    public static void read(
            Request request,
            int limitBytes,
            long timeoutMillis,
            ScheduledExecutorService timers,
            Allocation allocation,
            Consumer<byte[]> onBody,
            Consumer<Failure> onFailure) {
        if (request.getContentLengthLong() > limitBytes) {
            onFailure.accept(Failure.TOO_LARGE);
            return;
        }
        BodyReader reader = new BodyReader(request, limitBytes, allocation, onBody, onFailure);
        reader.start();
        reader.startTimer(timers, timeoutMillis);
    }

    private void start() {
        onDataAvailable();
    }

    @Override
    public void onDataAvailable() {
        serial.execute(this::readNext);
    }

    @Override
    public void onAllDataRead() {
        serial.execute(this::readNext);
    }

    /** Reads what has arrived, and registers for what follows, which may be delivered before the registration returns. */
    private void readNext() {
        try {
            if (finished.get() || !readAvailable()) {
                return;
            }
            if (in.isFinished()) {
                finish();
            } else {
                in.notifyAvailable(this);
            }
        } catch (IOException e) {
            onError(e);
        }
    }

    @Override
    public void onError(Throwable cause) {
        if (cause instanceof IOException || cause instanceof HttpBrokenContentException) {
            fail(Failure.MALFORMED);
            return;
        }
        LOG.log(Level.ERROR, "event=body_unread received=" + size, cause);
        fail(Failure.INTERNAL);
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
        Optional<byte[]> body = discarding ? Optional.empty() : known.or(() -> parts.join(allocation));
        if (body.isEmpty()) {
            fail(Failure.NO_ROOM);
        } else if (finished.compareAndSet(false, true)) {
            cancelTimer();
            onBody.accept(body.get());
        }
    }

    private void cancelTimer() {
        ScheduledFuture<?> current = timer;
        if (current != null) {
            current.cancel(false);
        }
    }

    private boolean readAvailable() throws IOException {
        if (in.readyData() <= 0) {
            return true;
        }
        byte[] part = known.orElseGet(() -> new byte[Math.min(PART_BYTES, in.readyData())]);
        while (in.readyData() > 0) {
            int offset = known.isPresent() ? size : 0;
            int length = in.read(part, offset, Math.min(in.readyData(), part.length - offset));
            if (length <= 0) {
                return true;
            }
            size += length;
            if (size > limitBytes) {
                fail(Failure.TOO_LARGE);
                return false;
            }
            discarding = discarding || known.isEmpty() && !parts.append(part, 0, length, allocation);
        }
        return true;
    }
}
