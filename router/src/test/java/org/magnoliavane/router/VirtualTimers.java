package org.magnoliavane.router;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks in virtual time, in milliseconds. Only one-shot tasks without a result are supported. */
public final class VirtualTimers extends AbstractExecutorService implements ScheduledExecutorService {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::sequenceNumber));
    private long nowMillis;
    private long nextSequenceNumber;

    public long now() {
        return nowMillis;
    }

    public void at(long millis, Runnable task) {
        tasks.add(new Task(millis, nextSequenceNumber++, task));
    }

    public void runUntil(long millis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis <= millis) {
            Task next = tasks.poll();
            nowMillis = next.atMillis;
            next.task.run();
        }
        nowMillis = millis;
    }

    @Override
    public void execute(Runnable task) {
        at(nowMillis, task);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        at(nowMillis + unit.toMillis(delay), task);
        return null;
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long delay, long period, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long delay, long pause, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void shutdown() {
        tasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        tasks.clear();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }

    private record Task(long atMillis, long sequenceNumber, Runnable task) {}
}
