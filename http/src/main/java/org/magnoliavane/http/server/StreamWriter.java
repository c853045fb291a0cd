package org.magnoliavane.http.server;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.nio.NIOConnection;
import org.magnoliavane.http.SerialExecutor;

/**
 * Writes a streamed response without blocking. Bytes that the connection cannot accept yet are kept in a buffer of
 * limited size. When the limit would be exceeded, the stream fails.
 *
 * <p>Thread-safe.
 */
public final class StreamWriter {
    /** Number of buffered bytes above which a source should stop. */
    private static final long HIGH_WATER_BYTES = 64 * 1024;

    /**
     * Number of bytes in the write queue of a connection from which it accepts no more: the next write waits until the queue is
     * empty. Grizzly's default is four times the send buffer of the socket, 10 MB on loopback, so that the streams of callers
     * that do not read filled the heap.
     */
    private static final int MAX_QUEUED_BYTES = 1;

    private final NIOConnection connection;
    private final NIOOutputStream out;
    private final Runnable onComplete;
    private final Runnable onFailure;
    private final SerialExecutor serial = SerialExecutor.create(failure -> fail());
    private final Deque<byte[]> pending = new ArrayDeque<>();
    private final AtomicLong limitBytes;
    private final AtomicLong bufferedBytes = new AtomicLong();
    private final AtomicBoolean failed = new AtomicBoolean();
    private Optional<Runnable> drainTask = Optional.empty();
    private boolean awaitingWritable;
    private volatile boolean ending;
    private boolean endRequested;
    private boolean ended;
    private volatile long lastWriteNanos = System.nanoTime();
    private volatile long lastProgressNanos = System.nanoTime();

    /**
     * Creates a writer, and limits the write queue of the connection.
     *
     * @param connection the connection of the response, which must serve no other response afterwards
     * @param out the output of the response
     * @param limitBytes the size limit of the buffer in bytes
     * @param onComplete called once, after the last byte was written, or after a failure or an abort
     * @param onFailure called before {@code onComplete} if the caller has disconnected or reads too slowly
     */
    public StreamWriter(
            Connection<?> connection, NIOOutputStream out, long limitBytes, Runnable onComplete, Runnable onFailure) {
        this.connection = (NIOConnection) connection;
        this.connection.setMaxAsyncWriteQueueSize(MAX_QUEUED_BYTES);
        this.out = out;
        this.limitBytes = new AtomicLong(limitBytes);
        this.onComplete = onComplete;
        this.onFailure = onFailure;
    }

    /**
     * Writes bytes, or buffers them until the connection can accept them. Fails the stream if the buffer limit would be
     * exceeded. Bytes that are passed after {@link #end()} or after the end of the stream are not written.
     *
     * @param bytes the bytes
     */
    public void write(byte[] bytes) {
        if (bufferedBytes.addAndGet(bytes.length) > limitBytes.get()) {
            fail();
            return;
        }
        serial.execute(() -> enqueue(bytes));
    }

    /**
     * Writes bytes that are replayed from an earlier part of the stream. The buffer limit grows by their number, because
     * they are available all at once and do not indicate a slow caller.
     *
     * @param bytes the bytes
     */
    public void writeReplayed(byte[] bytes) {
        limitBytes.addAndGet(bytes.length);
        write(bytes);
    }

    /**
     * Returns whether the caller reads more slowly than bytes are written.
     *
     * @return true if the source of the bytes should stop until {@link #whenDrained}
     */
    public boolean isBehind() {
        return bufferedBytes.get() > HIGH_WATER_BYTES;
    }

    /**
     * Gets the number of bytes that are in the memory of this process: those that the connection has not accepted yet, and those
     * in its write queue.
     *
     * @return the number of buffered bytes
     */
    public long getBufferedBytes() {
        return bufferedBytes.get() + connection.getAsyncWriteQueue().spaceInBytes();
    }

    /**
     * Sets the task that runs once the caller has caught up or the stream has ended.
     *
     * @param task the task, which replaces an earlier one that has not run
     */
    public void whenDrained(Runnable task) {
        serial.execute(() -> {
            drainTask = Optional.of(task);
            runDrainTask();
        });
    }

    private void runDrainTask() {
        if (ended || !isBehind()) {
            Optional<Runnable> task = drainTask;
            drainTask = Optional.empty();
            task.ifPresent(Runnable::run);
        }
    }

    /** Ends the stream after all buffered bytes have been written. */
    public void end() {
        ending = true;
        serial.execute(() -> {
            endRequested = true;
            writePending();
        });
    }

    /**
     * Returns whether the stream is complete, though its last bytes may not have been written yet.
     *
     * @return whether {@link #end} was called
     */
    public boolean isEnding() {
        return ending;
    }

    /** Ends the stream immediately and discards the buffered bytes. */
    public void abort() {
        serial.execute(this::finish);
    }

    /**
     * Gets the time since {@link #write} last accepted bytes, or since the creation of the writer.
     *
     * @return the time in milliseconds
     */
    public long getIdleMillis() {
        return (System.nanoTime() - lastWriteNanos) / 1_000_000;
    }

    /**
     * Gets the time since the connection last accepted bytes, or since the creation of the writer.
     *
     * @return the time in milliseconds
     */
    public long getStalledMillis() {
        return (System.nanoTime() - lastProgressNanos) / 1_000_000;
    }

    private void enqueue(byte[] bytes) {
        if (ended || endRequested) {
            return;
        }
        lastWriteNanos = System.nanoTime();
        pending.add(bytes);
        writePending();
    }

    private void writePending() {
        if (ended || awaitingWritable || failed.get()) {
            return;
        }
        try {
            while (!pending.isEmpty() && out.canWrite()) {
                byte[] next = pending.remove();
                out.write(next);
                out.flush();
                bufferedBytes.addAndGet(-next.length);
                lastProgressNanos = System.nanoTime();
            }
        } catch (IOException e) {
            fail();
            return;
        }
        runDrainTask();
        if (!pending.isEmpty()) {
            awaitingWritable = true;
            out.notifyCanWrite(new WritabilityHandler());
        } else if (endRequested) {
            finish();
        }
    }

    private void fail() {
        if (failed.compareAndSet(false, true)) {
            onFailure.run();
            serial.execute(this::finish);
        }
    }

    private void finish() {
        if (!ended) {
            ended = true;
            pending.clear();
            onComplete.run();
            runDrainTask();
        }
    }

    /** Resumes writing when the connection can accept more bytes. */
    private final class WritabilityHandler implements WriteHandler {
        @Override
        public void onWritePossible() {
            serial.execute(() -> {
                awaitingWritable = false;
                writePending();
            });
        }

        @Override
        public void onError(Throwable cause) {
            fail();
        }
    }
}
