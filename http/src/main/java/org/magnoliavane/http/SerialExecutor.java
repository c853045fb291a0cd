package org.magnoliavane.http;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time in the order of submission. A thread that submits a task to an idle executor runs it, and
 * all tasks submitted meanwhile, before {@link #execute} returns. A task submitted by a running task runs after that
 * task, so state that is accessed only by tasks needs no lock.
 *
 * <p>Thread-safe.
 */
public final class SerialExecutor implements Executor {
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    private SerialExecutor() {}

    /**
     * Creates an idle executor.
     *
     * @return the executor
     */
    public static SerialExecutor create() {
        return new SerialExecutor();
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() > 0) {
            return;
        }
        do {
            run(tasks.remove());
        } while (pending.decrementAndGet() > 0);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            System.getLogger(SerialExecutor.class.getName())
                    .log(System.Logger.Level.ERROR, "serialized task failed", e);
        }
    }
}
