package org.magnoliavane.emulator.http;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.http.DaemonTimers;

/**
 * Runs delayed and periodic actions on one daemon thread.
 *
 * <p>Thread-safe.
 */
public final class Timers implements AutoCloseable {
    private final ScheduledThreadPoolExecutor executor;

    private Timers(ScheduledThreadPoolExecutor executor) {
        this.executor = executor;
    }

    /**
     * Creates timers and their thread.
     *
     * @param name the name of the thread
     * @return the timers
     */
    public static Timers start(String name) {
        ScheduledThreadPoolExecutor executor = DaemonTimers.open(name, 1);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        return new Timers(executor);
    }

    /**
     * Runs an action after a delay, or at once on the calling thread when the delay is 0 or less.
     *
     * @param millis the delay in milliseconds
     * @param action the action
     */
    public void schedule(long millis, Runnable action) {
        if (millis <= 0) {
            action.run();
            return;
        }
        executor.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs an action periodically.
     *
     * @param millis the interval in milliseconds
     * @param action the action
     */
    public void scheduleAtFixedRate(long millis, Runnable action) {
        executor.scheduleAtFixedRate(action, millis, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
