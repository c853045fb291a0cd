package org.magnoliavane.bench;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.HdrHistogram.Histogram;
import org.magnoliavane.pool.PoolScheduler;
import org.magnoliavane.pool.SchedulerDecision;

/**
 * Runs one scheduler behind a message delay and delivers its decisions. Not thread-safe.
 */
final class SchedulerHost {
    private static final long MAX_DECISION_NANOS = 10_000_000_000L;

    /** Holds the real time of each call that carries one event to its decisions. */
    final Histogram decisionNanos = new Histogram(MAX_DECISION_NANOS, 3);

    private final EventLoop loop;
    private final long delayMicros;
    private final Consumer<SchedulerDecision> decisionListener;
    private PoolScheduler scheduler;
    private long wakeupMicros = Long.MAX_VALUE;

    SchedulerHost(EventLoop loop, long delayMicros, PoolScheduler scheduler, Consumer<SchedulerDecision> decisions) {
        this.loop = loop;
        this.delayMicros = delayMicros;
        this.scheduler = scheduler;
        this.decisionListener = decisions;
    }

    /** Replaces the scheduler; null while there is none. Messages that are on their way to the old one are lost. */
    void replaceScheduler(PoolScheduler next) {
        scheduler = next;
        wakeupMicros = Long.MAX_VALUE;
    }

    boolean hasScheduler() {
        return scheduler != null;
    }

    /** Sends a message to the scheduler. */
    void send(Consumer<PoolScheduler> message) {
        PoolScheduler receiver = scheduler;
        loop.scheduleAfter(delayMicros, () -> {
            if (receiver != null && receiver == scheduler) {
                runScheduler(message);
            }
        });
    }

    private void runScheduler(Consumer<PoolScheduler> message) {
        long begin = System.nanoTime();
        message.accept(scheduler);
        List<SchedulerDecision> taken = scheduler.decide(loop.getNowMicros());
        decisionNanos.recordValue(Math.min(MAX_DECISION_NANOS, System.nanoTime() - begin));
        taken.forEach(each -> loop.scheduleAfter(delayMicros, () -> decisionListener.accept(each)));
        OptionalLong wake = scheduler.getNextWakeMicros();
        if (wake.isPresent()) {
            scheduleWakeup(Math.max(loop.getNowMicros() + 1, wake.getAsLong()));
        }
    }

    private void scheduleWakeup(long micros) {
        if (wakeupMicros > loop.getNowMicros() && wakeupMicros <= micros) {
            return;
        }
        wakeupMicros = micros;
        PoolScheduler receiver = scheduler;
        loop.scheduleAt(micros, () -> {
            if (receiver == scheduler && wakeupMicros == micros) {
                wakeupMicros = Long.MAX_VALUE;
                runScheduler(none -> {});
            }
        });
    }
}
