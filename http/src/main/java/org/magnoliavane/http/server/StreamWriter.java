package org.magnoliavane.http.server;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.magnoliavane.http.SerialExecutor;

/**
 * Writes a streamed response without blocking. Bytes that the caller does not take wait in a buffer of limited size;
 * when it is full the stream is ended.
 *
 * <p>Thread-safe.
 */
public final class StreamWriter {
    private final NIOOutputStream out;
    private final Runnable onComplete;
    private final Runnable onBroken;
    private final SerialExecutor serial = SerialExecutor.create();
    private final Deque<byte[]> pending = new ArrayDeque<>();
    private final AtomicLong limitBytes;
    private final AtomicLong waitingBytes = new AtomicLong();
    private final AtomicBoolean broken = new AtomicBoolean();
    private boolean waiting;
    private boolean ending;
    private boolean ended;
    private volatile long lastWriteNanos = System.nanoTime();

    /**
     * Creates a writer.
     *
     * @param out the output of the response
     * @param limitBytes the size of the buffer
     * @param onComplete runs once, after the last byte or after a failure
     * @param onBroken runs before {@code onComplete} when the caller is gone or too slow
     */
    public StreamWriter(NIOOutputStream out, long limitBytes, Runnable onComplete, Runnable onBroken) {
        this.out = out;
        this.limitBytes = new AtomicLong(limitBytes);
        this.onComplete = onComplete;
        this.onBroken = onBroken;
    }

    public void write(byte[] bytes) {
        if (waitingBytes.addAndGet(bytes.length) > limitBytes.get()) {
            breakOff();
            return;
        }
        serial.execute(() -> add(bytes));
    }

    /** Writes bytes that exist already and are no sign of a slow caller. */
    public void writeReplayed(byte[] bytes) {
        limitBytes.addAndGet(bytes.length);
        write(bytes);
    }

    public void end() {
        serial.execute(() -> {
            ending = true;
            drain();
        });
    }

    /** Ends the stream at once and drops what was not written. */
    public void abort() {
        serial.execute(this::finish);
    }

    public long getIdleMillis() {
        return (System.nanoTime() - lastWriteNanos) / 1_000_000;
    }

    private void add(byte[] bytes) {
        if (ended || ending) {
            return;
        }
        lastWriteNanos = System.nanoTime();
        pending.add(bytes);
        drain();
    }

    private void drain() {
        if (ended || waiting || broken.get()) {
            return;
        }
        try {
            while (!pending.isEmpty() && out.canWrite()) {
                byte[] next = pending.remove();
                out.write(next);
                out.flush();
                waitingBytes.addAndGet(-next.length);
            }
        } catch (IOException e) {
            breakOff();
            return;
        }
        if (!pending.isEmpty()) {
            waiting = true;
            out.notifyCanWrite(new Resumption());
        } else if (ending) {
            finish();
        }
    }

    private void breakOff() {
        if (broken.compareAndSet(false, true)) {
            onBroken.run();
            serial.execute(this::finish);
        }
    }

    private void finish() {
        if (!ended) {
            ended = true;
            pending.clear();
            onComplete.run();
        }
    }

    /** Goes on writing when the transport can take more. */
    private final class Resumption implements WriteHandler {
        @Override
        public void onWritePossible() {
            serial.execute(() -> {
                waiting = false;
                drain();
            });
        }

        @Override
        public void onError(Throwable cause) {
            breakOff();
        }
    }
}
