package org.magnoliavane.emulator.http;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.http.DaemonTimers;

/**
 * Runs delayed actions on one daemon thread.
 *
 * <p>Thread-safe.
 */
public final class Timers implements AutoCloseable {
    private final ScheduledThreadPoolExecutor executor;

    private Timers(ScheduledThreadPoolExecutor executor) {
        this.executor = executor;
    }

    /**
     * Starts timers.
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
     * Runs an action later, or at once on the calling thread when there is no delay.
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
     * Runs an action again and again.
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
