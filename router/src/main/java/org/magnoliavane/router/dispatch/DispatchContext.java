package org.magnoliavane.router.dispatch;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerSelector;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.router.RoutingState;

/**
 * Holds the dependencies of request executions.
 *
 * @param routingState the configuration in force and the known workers
 * @param workerListAgeMillis gets the time in milliseconds since the known workers were last current
 * @param loadTracker the load and the health of the workers
 * @param workerSelector selects workers
 * @param admissionQueues the requests that wait for free capacity at model workers
 * @param admissionControl decides which model requests can be served in time
 * @param reservationService reserves capacity at model workers
 * @param retryBudgets the limits on retries and hedged requests
 * @param poisonGuard keeps requests that crash workers away from them
 * @param workerEnds finds out whether the process of a worker has ended
 * @param onUnreachable receives the id of a worker that accepted no connection or whose address another worker has, and the
 *     time in milliseconds until which it is suspended
 * @param client sends requests to workers
 * @param wireFormat encodes and decodes requests and responses
 * @param budget bounds the bytes that are buffered
 * @param timers runs timeouts
 * @param clockMillis a monotonic clock, in milliseconds
 * @param random supplies random numbers between 0 and 1
 * @param metrics the counters and histograms
 */
public record DispatchContext(
        RoutingState routingState,
        LongSupplier workerListAgeMillis,
        WorkerLoadTracker loadTracker,
        WorkerSelector workerSelector,
        AdmissionQueues admissionQueues,
        AdmissionControl admissionControl,
        ReservationService reservationService,
        RetryBudgets retryBudgets,
        PoisonGuard poisonGuard,
        WorkerEndDetector workerEnds,
        BiConsumer<String, Long> onUnreachable,
        HttpClient client,
        WireFormat wireFormat,
        ByteBudget budget,
        ScheduledExecutorService timers,
        LongSupplier clockMillis,
        DoubleSupplier random,
        MetricRegistry metrics) {}
