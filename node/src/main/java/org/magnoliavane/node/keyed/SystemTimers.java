package org.magnoliavane.node.keyed;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.http.DaemonTimers;

/**
 * Reads the monotonic clock of the machine and runs delayed tasks on one thread.
 *
 * <p>Thread-safe.
 */
final class SystemTimers implements Timers, AutoCloseable {
    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final ScheduledThreadPoolExecutor executor;

    SystemTimers() {
        executor = DaemonTimers.open("keyed-timers", 1);
    }

    @Override
    public long nowMillis() {
        return startMillis + (System.nanoTime() - startNanos) / 1_000_000;
    }

    @Override
    public Runnable runAfter(long millis, Runnable task) {
        if (executor.isShutdown()) {
            return () -> {};
        }
        Future<?> future = executor.schedule(task, millis, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
