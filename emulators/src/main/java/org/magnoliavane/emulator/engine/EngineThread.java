package org.magnoliavane.emulator.engine;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Runs an engine model on a single thread: submitted tasks in the order of their arrival and the events of the model
 * when they are due.
 *
 * <p>Thread-safe.
 */
final class EngineThread {
    private static final System.Logger LOGGER = System.getLogger(EngineThread.class.getName());
    private static final long NANOS_PER_MICRO = 1000;

    private final LinkedBlockingQueue<LongConsumer> tasks = new LinkedBlockingQueue<>();
    private final long startNanos = System.nanoTime();
    private final Thread thread = new Thread(this::run, "engine-emulator");
    private EngineModel model;
    private long frozenNanos;
    private volatile boolean closed;

    void start(EngineModel started) {
        model = started;
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Queues a task for the thread of the engine.
     *
     * @param task receives the time at which it runs, in microseconds since the start of the engine
     */
    void submit(LongConsumer task) {
        tasks.add(task);
    }

    /** Stops the thread and the clock of the engine for a time in milliseconds. Must be called by a task. */
    void freeze(long millis) {
        long sleepStartNanos = System.nanoTime();
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        frozenNanos += System.nanoTime() - sleepStartNanos;
    }

    void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        while (!closed) {
            try {
                long waitMicros = Math.max(0, model.getNextEventMicros(getNowMicros()) - getNowMicros());
                LongConsumer task = tasks.poll(waitMicros, TimeUnit.MICROSECONDS);
                model.advance(getNowMicros());
                while (task != null && !closed) {
                    task.accept(getNowMicros());
                    task = tasks.poll();
                }
            } catch (InterruptedException | CrashedException e) {
                return;
            } catch (RuntimeException e) {
                LOGGER.log(
                        System.Logger.Level.ERROR, "engine emulator failed to advance the model or to run a task", e);
            }
        }
    }

    private long getNowMicros() {
        return (System.nanoTime() - startNanos - frozenNanos) / NANOS_PER_MICRO;
    }

    /** Ends the thread of the engine in the middle of a task or a step. */
    static final class CrashedException extends RuntimeException {
        private static final long serialVersionUID = 1;

        CrashedException() {
            super("the engine emulator crashed because of a fault", null, false, false);
        }
    }
}
