package org.magnoliavane.http;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;

/**
 * Creates timer executors whose daemon threads do not keep the process alive.
 */
public final class DaemonTimers {
    private DaemonTimers() {}

    /**
     * Opens an executor. Cancelled tasks are removed immediately, because most request timers are cancelled before they
     * run. A task that is scheduled after the shutdown is discarded, like those that were waiting for it: requests still end
     * while a node stops, and must not fail with an error of the node instead.
     *
     * @param name the name of the threads
     * @param threads the number of threads
     * @return the executor; the code that opened it must shut it down
     */
    public static ScheduledThreadPoolExecutor open(String name, int threads) {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(threads, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
        return executor;
    }
}
