package org.magnoliavane.pool;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks the prefills that were sent to one prefill worker.
 *
 * <p>Not thread-safe. Times are in microseconds.
 */
final class PrefillState {
    /** The time by which the report of a finished prefill may be delayed. */
    private static final long REPORT_DELAY_MICROS = 4_000;

    final Deque<StartedAttempt> sent = new ArrayDeque<>();
    PoolWorker worker;
    long headStartMicros;
    long linkFreeMicros;
    long avoidUntilMicros;
    /** The id of the isolated attempt to which this worker is dedicated; null when there is none. */
    String isolatedAttempt;

    PrefillState(PoolWorker worker) {
        this.worker = worker;
    }

    /** Returns whether the worker accepts new prefills. */
    boolean isAvailable(long now) {
        return !worker.leaving() && isolatedAttempt == null && avoidUntilMicros <= now;
    }

    /** Estimates the time at which all prefills that were sent are done. */
    long estimateFreeMicros(long now) {
        long free = now;
        boolean head = true;
        for (StartedAttempt each : sent) {
            free = head ? estimateHeadEndMicros(each, now) : free + each.prefillMicros;
            head = false;
        }
        return free;
    }

    /** Estimates the end of the running prefill. An overdue one is assumed to have missed the cache. */
    private long estimateHeadEndMicros(StartedAttempt head, long now) {
        long expected = headStartMicros + head.prefillMicros;
        boolean overdue = now > expected + REPORT_DELAY_MICROS;
        return Math.max(now, overdue ? headStartMicros + head.longestPrefillMicros : expected);
    }

    /** Returns whether the estimate of a prefill that was sent assumes a cache hit for a part of its prompt. */
    boolean dependsOnCacheHint() {
        return sent.stream().anyMatch(each -> each.prefillMicros < each.longestPrefillMicros);
    }

    void add(StartedAttempt attempt, long startMicros) {
        if (sent.isEmpty()) {
            headStartMicros = startMicros;
        }
        sent.addLast(attempt);
    }

    void remove(StartedAttempt attempt, long now) {
        boolean head = sent.peekFirst() == attempt;
        if (sent.remove(attempt) && head) {
            headStartMicros = now;
        }
    }
}
