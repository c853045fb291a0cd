package org.magnoliavane.node.settings;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Queues log records for a thread that writes them, and drops records while the queue is full.
 *
 * <p>Thread-safe.
 */
final class AsyncLogHandler extends Handler {
    /** Maximum number of queued records; a busy node logs as many in several seconds. */
    private static final int CAPACITY = 4096;

    private static final long FLUSH_WAIT_MILLIS = 500;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    private final Formatter formatter;

    AsyncLogHandler(PrintStream out, Formatter lines) {
        this.out = out;
        this.formatter = lines;
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord event) {
        if (!queue.offer(event)) {
            dropped.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (true) {
                out.print(formatter.format(queue.take()));
                long droppedLines = dropped.getAndSet(0);
                if (droppedLines > 0) {
                    out.println("event=log_dropped lines=" + droppedLines);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void flush() {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_WAIT_MILLIS);
        while (!queue.isEmpty() && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
        out.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
