package org.magnoliavane.router.dispatch;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.balance.CrashLedger;
import org.magnoliavane.balance.Placement;
import org.magnoliavane.balance.WorkerLedger;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.router.Fleet;

/**
 * What the runs of requests use.
 *
 * @param clusterState configuration and workers
 * @param loadTracker load and health of the workers
 * @param workerSelector chooses workers
 * @param admissionQueues requests that wait for room at engines
 * @param reservationService gives out that room
 * @param retryBudgets limit repeats
 * @param crashTracker contents that crash workers
 * @param onCrash takes the content and the crash when a worker died while it ran a request
 * @param client sends requests to workers
 * @param wireFormat translates them
 * @param timers runs timeouts
 * @param clockMillis a monotonic clock in milliseconds
 * @param random gives numbers from 0 to 1
 * @param metrics counters and histograms
 */
public record DispatchParts(
        Fleet clusterState,
        WorkerLedger loadTracker,
        Placement workerSelector,
        RoomQueues admissionQueues,
        RoomBroker reservationService,
        RetryBudgets retryBudgets,
        CrashLedger crashTracker,
        BiConsumer<Long, String> onCrash,
        HttpClient client,
        WireFormat wireFormat,
        ScheduledExecutorService timers,
        LongSupplier clockMillis,
        DoubleSupplier random,
        MetricRegistry metrics) {}
