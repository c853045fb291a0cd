package org.magnoliavane.router.dispatch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.router.RoutingState;

/**
 * Reports requests that wait while workers are idle. No load explains that for longer than a moment, so it shows a fault of the
 * admission that callers otherwise see as a service without capacity.
 *
 * <p>Thread-safe.
 */
public final class IdleCapacityMonitor {
    /** Name of the counter of reports. */
    static final String COUNTER = "admission.waiting_beside_idle";

    /** Time without an admission that is not reported: nodes learn of free capacity by reports that are up to a second old. */
    private static final long REPORTED_MILLIS = 1500;

    private static final Logger LOG = System.getLogger(IdleCapacityMonitor.class.getName());

    private final AdmissionQueues queues;
    private final RoutingState routingState;
    private final WorkerLoadTracker loadTracker;
    private final LongSupplier clockMillis;
    private final MetricRegistry metrics;

    private IdleCapacityMonitor(
            AdmissionQueues queues,
            RoutingState routingState,
            WorkerLoadTracker loadTracker,
            LongSupplier clockMillis,
            MetricRegistry metrics) {
        this.queues = queues;
        this.routingState = routingState;
        this.loadTracker = loadTracker;
        this.clockMillis = clockMillis;
        this.metrics = metrics;
    }

    /**
     * Creates a monitor, whose owner calls {@link #check} repeatedly.
     *
     * @param queues the requests that wait at this node
     * @param routingState the workers of each service
     * @param loadTracker the known loads of the workers
     * @param clockMillis a monotonic clock, in milliseconds
     * @param metrics receives the counter of reports
     * @return the monitor
     */
    public static IdleCapacityMonitor create(
            AdmissionQueues queues,
            RoutingState routingState,
            WorkerLoadTracker loadTracker,
            LongSupplier clockMillis,
            MetricRegistry metrics) {
        return new IdleCapacityMonitor(queues, routingState, loadTracker, clockMillis, metrics);
    }

    /** Logs and counts each service of which requests wait beside idle workers. */
    public void check() {
        for (AdmissionQueues.WaitingRequests waiting : queues.getWaiting()) {
            long idle = countIdle(routingState.getWorkers(waiting.service()));
            if (idle == 0 || waiting.millisWithoutAdmission() < REPORTED_MILLIS) {
                continue;
            }
            metrics.counter(COUNTER).inc();
            LOG.log(
                    Level.WARNING,
                    "event=waiting_beside_idle service={0} requests={1} idle_workers={2} millis={3}",
                    waiting.service(),
                    waiting.requests(),
                    Long.toString(idle),
                    Long.toString(waiting.millisWithoutAdmission()));
        }
    }

    /** Counts the idle workers that could run a waiting request; none while all prefill workers are busy. */
    private long countIdle(Collection<ListedWorker> workers) {
        boolean prefills = workers.stream().anyMatch(w -> w.server().role() == WorkerRole.PREFILL);
        if (prefills && workers.stream().noneMatch(w -> w.server().role() == WorkerRole.PREFILL && isIdle(w))) {
            return 0;
        }
        return workers.stream()
                .filter(w -> w.server().role() != WorkerRole.PREFILL && isIdle(w))
                .count();
    }

    private boolean isIdle(ListedWorker worker) {
        long now = clockMillis.getAsLong();
        return !worker.server().leaving()
                && loadTracker.getNotices().isUsable(worker, now)
                && !loadTracker.isUnhealthy(worker.id(), now)
                && loadTracker.countRequests(worker.id(), now) == 0;
    }
}
