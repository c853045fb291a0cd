package org.magnoliavane.router.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The timers of one request. They end with the request: one that is left would keep it, with its body, in memory until it is due.
 *
 * <p>Thread-safe.
 */
final class RequestTimers {
    private final ScheduledExecutorService timers;
    private final Executor executor;
    private final Set<Timer> pending = new HashSet<>();
    private boolean closed;

    private RequestTimers(ScheduledExecutorService timers, Executor executor) {
        this.timers = timers;
        this.executor = executor;
    }

    /**
     * Creates the timers of a request.
     *
     * @param timers runs the timers of all requests
     * @param executor runs the tasks of the request
     */
    static RequestTimers create(ScheduledExecutorService timers, Executor executor) {
        return new RequestTimers(timers, executor);
    }

    /** Runs a task on the executor after a time, in milliseconds, unless the request has ended by then. */
    void schedule(long millis, Runnable task) {
        Timer timer = new Timer(task);
        synchronized (this) {
            if (closed) {
                return;
            }
            pending.add(timer);
        }
        timer.start(millis);
    }

    /** Ends all timers; no task is run any more. */
    void cancelAll() {
        Set<Timer> cancelled;
        synchronized (this) {
            closed = true;
            cancelled = Set.copyOf(pending);
            pending.clear();
        }
        cancelled.forEach(Timer::cancel);
    }

    private synchronized boolean remove(Timer timer) {
        return pending.remove(timer);
    }

    private synchronized boolean isPending(Timer timer) {
        return pending.contains(timer);
    }

    private final class Timer {
        private final Runnable task;
        private volatile Future<?> future;

        Timer(Runnable task) {
            this.task = task;
        }

        void start(long millis) {
            future = timers.schedule(() -> executor.execute(this::run), Math.max(0, millis), TimeUnit.MILLISECONDS);
            if (!isPending(this)) {
                // The request has ended meanwhile, or the timer has run.
                cancel();
            }
        }

        void cancel() {
            Future<?> current = future;
            if (current != null) {
                current.cancel(false);
            }
        }

        private void run() {
            if (remove(this)) {
                task.run();
            }
        }
    }
}
