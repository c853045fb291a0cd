package org.magnoliavane.router.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.magnoliavane.balance.RetryBudget;

/**
 * Holds the retry budget of each service.
 *
 * <p>Thread-safe.
 */
public final class RetryBudgets {
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private final Supplier<RetryBudget> factory;
    private final IntSupplier nodeCount;
    private final LongSupplier clockMillis;

    /**
     * Creates the budgets.
     *
     * @param factory creates the budget of a service
     * @param nodeCount supplies the number of nodes that share a budget
     * @param clockMillis a monotonic clock, in milliseconds
     */
    public RetryBudgets(Supplier<RetryBudget> factory, IntSupplier nodeCount, LongSupplier clockMillis) {
        this.factory = factory;
        this.nodeCount = nodeCount;
        this.clockMillis = clockMillis;
    }

    void countRequest(String service) {
        getBudget(service).countRequest(clockMillis.getAsLong());
    }

    boolean tryAcquire(String service) {
        return getBudget(service).tryAcquire(clockMillis.getAsLong(), nodeCount.getAsInt());
    }

    private RetryBudget getBudget(String service) {
        return budgets.computeIfAbsent(service, s -> factory.get());
    }
}
