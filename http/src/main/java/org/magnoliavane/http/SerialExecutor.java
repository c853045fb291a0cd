package org.magnoliavane.http;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicIntegerFieldUpdater;
import java.util.function.Consumer;

/**
 * Runs tasks one at a time in the order of submission. A thread that submits a task to an idle executor runs it, and
 * all tasks submitted meanwhile, before {@link #execute} returns. A task submitted by a running task of the same executor
 * runs after that task, so state that is accessed only by tasks needs no lock.
 *
 * <p>Tasks of different executors nest on the stack of a thread to a small depth only. Beyond it, a submitted task runs on the
 * same thread after the tasks that are running, so that the depth of calls does not depend on how many executors cause each
 * other's tasks, such as requests that hand on capacity.
 *
 * <p>A task that throws, also an error, ends alone: the failure is logged and counted, and later tasks run.
 *
 * <p>Thread-safe.
 */
public final class SerialExecutor implements Executor {
    /**
     * Number of executors whose tasks may nest on a thread: those of an exchange, of its request and of the writer of its
     * response, so that a part of a response is passed on before the next one is read.
     */
    private static final int MAX_NESTED = 3;

    private static final AtomicIntegerFieldUpdater<SerialExecutor> RUNNING =
            AtomicIntegerFieldUpdater.newUpdater(SerialExecutor.class, "running");

    private static final ThreadLocal<Nesting> NESTING = ThreadLocal.withInitial(Nesting::new);

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
        if (running == 0) {
            NESTING.get().run(this);
        }
    }

    private void runSubmitted() {
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

    /** The executors whose tasks a thread is running, and those that it runs afterwards. */
    private static final class Nesting {
        private final Queue<SerialExecutor> deferred = new ArrayDeque<>();
        private int depth;

        void run(SerialExecutor executor) {
            if (depth == MAX_NESTED) {
                deferred.add(executor);
                return;
            }
            try {
                runNested(executor);
            } finally {
                if (depth == 0) {
                    runDeferred();
                }
            }
        }

        private void runNested(SerialExecutor executor) {
            depth++;
            try {
                executor.runSubmitted();
            } finally {
                depth--;
            }
        }

        private void runDeferred() {
            SerialExecutor next = deferred.poll();
            while (next != null) {
                runNested(next);
                next = deferred.poll();
            }
        }
    }
}
