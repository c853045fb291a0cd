package org.magnoliavane.router.dispatch;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.balance.CrashTracker;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerSelector;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.router.RoutingState;

/**
 * What the runs of requests use.
 *
 * @param fleet configuration and workers
 * @param ledger load and health of the workers
 * @param placement chooses workers
 * @param rooms requests that wait for room at engines
 * @param broker gives out that room
 * @param budgets limit repeats
 * @param crashes contents that crash workers
 * @param onCrash takes the content and the crash when a worker died while it ran a request
 * @param client sends requests to workers
 * @param wire translates them
 * @param timers runs timeouts
 * @param millis a monotonic clock in milliseconds
 * @param random gives numbers from 0 to 1
 * @param metrics counters and histograms
 */
public record DispatchContext(
        RoutingState fleet,
        WorkerLoadTracker ledger,
        WorkerSelector placement,
        AdmissionQueues rooms,
        ReservationService broker,
        RetryBudgets budgets,
        CrashTracker crashes,
        BiConsumer<Long, String> onCrash,
        HttpClient client,
        WireFormat wire,
        ScheduledExecutorService timers,
        LongSupplier millis,
        DoubleSupplier random,
        MetricRegistry metrics) {}
