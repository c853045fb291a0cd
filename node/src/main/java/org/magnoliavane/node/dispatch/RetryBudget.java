package org.magnoliavane.node.dispatch;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of the calls, so that retries cannot multiply the load of a failing service.
 *
 * <p>Thread-safe.
 */
final class RetryBudget {
    /** One retry costs as much as 100 calls earn at 1%. */
    private static final long COST = 100;

    /** Largest stock, in retries, so that a quiet time does not pay for a burst of retries. */
    private static final long LARGEST_STOCK = 10 * COST;

    private final AtomicLong stock = new AtomicLong(LARGEST_STOCK);

    void earn(int percent) {
        stock.updateAndGet(s -> Math.min(LARGEST_STOCK, s + percent));
    }

    boolean spend() {
        return stock.getAndUpdate(s -> s >= COST ? s - COST : s) >= COST;
    }
}
