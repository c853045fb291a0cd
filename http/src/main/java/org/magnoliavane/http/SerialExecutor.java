package org.magnoliavane.http;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicIntegerFieldUpdater;
import java.util.function.Consumer;

/**
 * Runs tasks one at a time in the order of submission. A thread that submits a task to an idle executor runs it, and
 * all tasks submitted meanwhile, before {@link #execute} returns. A task submitted by a running task runs after that
 * task, so state that is accessed only by tasks needs no lock.
 *
 * <p>A task that throws, also an error, ends alone: the failure is logged and counted, and later tasks run.
 *
 * <p>Thread-safe.
 */
public final class SerialExecutor implements Executor {
    private static final AtomicIntegerFieldUpdater<SerialExecutor> RUNNING =
            AtomicIntegerFieldUpdater.newUpdater(SerialExecutor.class, "running");

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Consumer<Throwable> onFailure;

    /** Whether a thread runs tasks, 1 or 0. It is reset by a plain write, which needs neither stack nor heap. */
    private volatile int running;

    private SerialExecutor(Consumer<Throwable> onFailure) {
        this.onFailure = onFailure;
    }

    /**
     * Creates an idle executor.
     *
     * @return the executor
     */
    public static SerialExecutor create() {
        return create(failure -> {});
    }

    /**
     * Creates an idle executor that reports the failures of its tasks.
     *
     * @param onFailure receives what a task has thrown, before the next task runs
     * @return the executor
     */
    public static SerialExecutor create(Consumer<Throwable> onFailure) {
        return new SerialExecutor(onFailure);
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        while (!tasks.isEmpty() && RUNNING.compareAndSet(this, 0, 1)) {
            try {
                runAll();
            } finally {
                running = 0;
            }
        }
    }

    private void runAll() {
        Runnable task = tasks.poll();
        while (task != null) {
            try {
                task.run();
            } catch (Throwable e) {
                handleFailure(e);
            }
            task = tasks.poll();
        }
    }

    private void handleFailure(Throwable failure) {
        Failures.recordSurvived("serialized_task", failure);
        try {
            onFailure.accept(failure);
        } catch (Throwable e) {
            Failures.recordSurvived("failure_handler", e);
        }
    }
}
