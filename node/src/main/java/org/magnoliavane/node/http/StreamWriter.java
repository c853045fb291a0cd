package org.magnoliavane.node.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.magnoliavane.node.dispatch.SerialExecutor;

/**
 * Writes a streamed response without blocking. Bytes that the caller does not take wait in a buffer of limited size;
 * when it is full the stream is ended.
 *
 * <p>Thread-safe.
 */
final class StreamWriter {
    private final NIOOutputStream out;
    private final Runnable onComplete;
    private final Runnable onBroken;
    private final SerialExecutor serial = SerialExecutor.create();
    private final Deque<byte[]> pending = new ArrayDeque<>();
    private long limitBytes;
    private long pendingBytes;
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
    StreamWriter(NIOOutputStream out, long limitBytes, Runnable onComplete, Runnable onBroken) {
        this.out = out;
        this.limitBytes = limitBytes;
        this.onComplete = onComplete;
        this.onBroken = onBroken;
    }

    void write(byte[] bytes) {
        serial.execute(() -> add(bytes));
    }

    /** Writes bytes that exist already and are no sign of a slow caller. */
    void writeEarlier(byte[] bytes) {
        serial.execute(() -> {
            limitBytes += bytes.length;
            add(bytes);
        });
    }

    void end() {
        serial.execute(() -> {
            ending = true;
            drain();
        });
    }

    /** Ends the stream at once and drops what was not written. */
    void abort() {
        serial.execute(this::finish);
    }

    long getIdleMillis() {
        return (System.nanoTime() - lastWriteNanos) / 1_000_000;
    }

    private void add(byte[] bytes) {
        if (ended || ending) {
            return;
        }
        lastWriteNanos = System.nanoTime();
        pending.add(bytes);
        pendingBytes += bytes.length;
        drain();
        if (pendingBytes > limitBytes) {
            breakOff();
        }
    }

    private void drain() {
        if (ended || waiting) {
            return;
        }
        try {
            while (!pending.isEmpty() && out.canWrite()) {
                byte[] next = pending.remove();
                pendingBytes -= next.length;
                out.write(next);
                out.flush();
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
        if (!ended) {
            onBroken.run();
            finish();
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
            serial.execute(StreamWriter.this::breakOff);
        }
    }
}
