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
    final Histogram nanos = new Histogram(MAX_DECISION_NANOS, 3);

    private final EventLoop loop;
    private final long delayMicros;
    private final Consumer<SchedulerDecision> decisions;
    private PoolScheduler scheduler;
    private long wakeMicros = Long.MAX_VALUE;

    SchedulerHost(EventLoop loop, long delayMicros, PoolScheduler scheduler, Consumer<SchedulerDecision> decisions) {
        this.loop = loop;
        this.delayMicros = delayMicros;
        this.scheduler = scheduler;
        this.decisions = decisions;
    }

    /** Replaces the scheduler; null while there is none. Messages that are on their way to the old one are lost. */
    void replace(PoolScheduler next) {
        scheduler = next;
        wakeMicros = Long.MAX_VALUE;
    }

    boolean isUp() {
        return scheduler != null;
    }

    /** Sends a message to the scheduler. */
    void send(Consumer<PoolScheduler> message) {
        PoolScheduler receiver = scheduler;
        loop.after(delayMicros, () -> {
            if (receiver != null && receiver == scheduler) {
                call(message);
            }
        });
    }

    private void call(Consumer<PoolScheduler> message) {
        long begin = System.nanoTime();
        message.accept(scheduler);
        List<SchedulerDecision> taken = scheduler.decide(loop.now());
        nanos.recordValue(Math.min(MAX_DECISION_NANOS, System.nanoTime() - begin));
        taken.forEach(each -> loop.after(delayMicros, () -> decisions.accept(each)));
        OptionalLong wake = scheduler.getNextWakeMicros();
        if (wake.isPresent()) {
            wakeAt(Math.max(loop.now() + 1, wake.getAsLong()));
        }
    }

    private void wakeAt(long micros) {
        if (wakeMicros > loop.now() && wakeMicros <= micros) {
            return;
        }
        wakeMicros = micros;
        PoolScheduler receiver = scheduler;
        loop.at(micros, () -> {
            if (receiver == scheduler && wakeMicros == micros) {
                wakeMicros = Long.MAX_VALUE;
                call(none -> {});
            }
        });
    }
}
