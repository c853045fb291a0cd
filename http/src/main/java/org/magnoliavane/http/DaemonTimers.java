package org.magnoliavane.http;

import java.util.concurrent.ScheduledThreadPoolExecutor;

/**
 * Opens executors for timers whose threads do not keep the process alive.
 */
public final class DaemonTimers {
    private DaemonTimers() {}

    /**
     * Opens an executor. Cancelled tasks are removed at once, because most timers of requests never run.
     *
     * @param name the name of its threads
     * @param threads the number of threads
     * @return the executor, which the caller shuts down
     */
    public static ScheduledThreadPoolExecutor open(String name, int threads) {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(threads, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }
}
