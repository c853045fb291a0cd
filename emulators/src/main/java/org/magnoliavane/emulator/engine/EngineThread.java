package org.magnoliavane.emulator.engine;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Runs an engine model on one thread: tasks in the order of their arrival, and the model's own events at their time.
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
     * Runs a task on the engine's thread.
     *
     * @param task receives the time in microseconds
     */
    void submit(LongConsumer task) {
        tasks.add(task);
    }

    /** Stops the engine's thread and clock for a time; to be called by a task. */
    void freeze(long millis) {
        long since = System.nanoTime();
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        frozenNanos += System.nanoTime() - since;
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
                LOGGER.log(System.Logger.Level.ERROR, "engine emulator failed in a step", e);
            }
        }
    }

    private long getNowMicros() {
        return (System.nanoTime() - startNanos - frozenNanos) / NANOS_PER_MICRO;
    }

    /** Ends the engine's thread in the middle of a step. */
    static final class CrashedException extends RuntimeException {
        private static final long serialVersionUID = 1;

        CrashedException() {
            super("the engine emulator crashed by order of a fault", null, false, false);
        }
    }
}
