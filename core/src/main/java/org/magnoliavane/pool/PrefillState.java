package org.magnoliavane.pool;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks the prefills that were sent to one prefill worker. Not thread-safe.
 */
final class PrefillState {
    /** The time in which the report of a finished prefill arrives. */
    private static final long REPORT_MICROS = 4_000;

    final Deque<StartedAttempt> sent = new ArrayDeque<>();
    PoolWorker worker;
    long headStartMicros;
    long linkFreeMicros;
    long avoidUntilMicros;
    /** The attempt that has this worker to itself; null when none has. */
    String isolated;

    PrefillState(PoolWorker worker) {
        this.worker = worker;
    }

    boolean isOpen(long now) {
        return !worker.leaving() && isolated == null && avoidUntilMicros <= now;
    }

    /** Estimates when the prefills that were sent are done. */
    long freeMicros(long now) {
        long free = now;
        boolean head = true;
        for (StartedAttempt each : sent) {
            free = head ? headEndMicros(each, now) : free + each.prefillMicros;
            head = false;
        }
        return free;
    }

    /** Estimates the end of the running prefill; one that is overdue did not find its prompt in the cache. */
    private long headEndMicros(StartedAttempt head, long now) {
        long expected = headStartMicros + head.prefillMicros;
        boolean overdue = now > expected + REPORT_MICROS;
        return Math.max(now, overdue ? headStartMicros + head.longestPrefillMicros : expected);
    }

    /** Says whether a prefill that was sent is expected to find a part of its prompt in the cache. */
    boolean reliesOnHint() {
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
