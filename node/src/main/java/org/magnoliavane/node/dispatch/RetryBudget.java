package org.magnoliavane.node.dispatch;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of the calls, so that retries cannot multiply the load of a failing service.
 *
 * <p>Thread-safe.
 */
final class RetryBudget {
    /** One retry costs as much as 100 calls earn at 1%. */
    private static final long RETRY_COST = 100;

    /** Largest stock, in retries, so that a quiet time does not pay for a burst of retries. */
    private static final long MAX_CREDIT = 10 * RETRY_COST;

    private final AtomicLong credit = new AtomicLong(MAX_CREDIT);

    void addCredit(int percent) {
        credit.updateAndGet(s -> Math.min(MAX_CREDIT, s + percent));
    }

    boolean tryAcquire() {
        return credit.getAndUpdate(s -> s >= RETRY_COST ? s - RETRY_COST : s) >= RETRY_COST;
    }
}
