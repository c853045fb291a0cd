package org.magnoliavane.bench;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.HdrHistogram.Histogram;
import org.magnoliavane.pool.PoolScheduler;
import org.magnoliavane.pool.SchedulerDecision;

/**
 * Runs one scheduler, delays the messages to and from it and delivers its decisions. Not thread-safe.
 */
final class SchedulerHost {
    private static final long MAX_DECISION_NANOS = 10_000_000_000L;

    /** Real time in nanoseconds that the scheduler takes to process one message and to decide. */
    final Histogram decisionNanos = new Histogram(MAX_DECISION_NANOS, 3);

    private final EventLoop loop;
    private final long delayMicros;
    private final Consumer<SchedulerDecision> decisionListener;
    private PoolScheduler scheduler;
    private long wakeupMicros = Long.MAX_VALUE;

    SchedulerHost(
            EventLoop loop, long delayMicros, PoolScheduler scheduler, Consumer<SchedulerDecision> decisionListener) {
        this.loop = loop;
        this.delayMicros = delayMicros;
        this.scheduler = scheduler;
        this.decisionListener = decisionListener;
    }

    /** Replaces the scheduler; null for none. Messages in flight to the previous scheduler are lost. */
    void replaceScheduler(PoolScheduler replacement) {
        scheduler = replacement;
        wakeupMicros = Long.MAX_VALUE;
    }

    boolean hasScheduler() {
        return scheduler != null;
    }

    /** Sends a message to the scheduler, which processes it after the message delay. */
    void send(Consumer<PoolScheduler> message) {
        PoolScheduler recipient = scheduler;
        loop.scheduleAfter(delayMicros, () -> {
            if (recipient != null && recipient == scheduler) {
                runScheduler(message);
            }
        });
    }

    private void runScheduler(Consumer<PoolScheduler> message) {
        long begin = System.nanoTime();
        message.accept(scheduler);
        List<SchedulerDecision> decisions = scheduler.decide(loop.getNowMicros());
        decisionNanos.recordValue(Math.min(MAX_DECISION_NANOS, System.nanoTime() - begin));
        decisions.forEach(each -> loop.scheduleAfter(delayMicros, () -> decisionListener.accept(each)));
        OptionalLong wakeup = scheduler.getNextWakeMicros();
        if (wakeup.isPresent()) {
            scheduleWakeup(Math.max(loop.getNowMicros() + 1, wakeup.getAsLong()));
        }
    }

    /** Schedules a wakeup unless an earlier one is pending. */
    private void scheduleWakeup(long micros) {
        if (wakeupMicros > loop.getNowMicros() && wakeupMicros <= micros) {
            return;
        }
        wakeupMicros = micros;
        PoolScheduler recipient = scheduler;
        loop.scheduleAt(micros, () -> {
            if (recipient == scheduler && wakeupMicros == micros) {
                wakeupMicros = Long.MAX_VALUE;
                runScheduler(ignored -> {});
            }
        });
    }
}
