package org.magnoliavane.node.dispatch;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a percentage of the requests, so that retries cannot multiply the load of a failing service.
 *
 * <p>Thread-safe.
 */
final class RetryBudget {
    /** Credit for one retry; each request adds the percentage as credit, so 100 requests at 1% pay for one retry. */
    private static final long RETRY_COST = 100;

    /** Credit for 10 retries; the limit keeps a long time without retries from allowing a large burst of them. */
    private static final long MAX_CREDIT = 10 * RETRY_COST;

    private final AtomicLong credit = new AtomicLong(MAX_CREDIT);

    /** Adds the credit for one request. */
    void addCredit(int percent) {
        credit.updateAndGet(c -> Math.min(MAX_CREDIT, c + percent));
    }

    /** Spends the credit for one retry; returns false when the credit does not suffice. */
    boolean tryAcquire() {
        return credit.getAndUpdate(c -> c >= RETRY_COST ? c - RETRY_COST : c) >= RETRY_COST;
    }
}
