package org.magnoliavane.node.dispatch;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.node.decision.DecisionLog;
import org.magnoliavane.node.placement.PlacementService;

/**
 * Holds the dependencies shared by all runs of model requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engineClient sends requests to engines
 * @param canceller cancels attempts at engines
 * @param placements requests workers for attempts
 * @param view provides the cluster view
 * @param timers runs timers
 * @param decisions records decisions
 * @param metrics holds the metrics of the node
 */
record DispatchContext(
        EngineClient engineClient,
        AttemptCanceller canceller,
        PlacementService placements,
        Supplier<ClusterView> view,
        ScheduledExecutorService timers,
        DecisionLog decisions,
        MetricRegistry metrics) {

    /** Increments a counter by one. */
    void incrementCounter(String name) {
        metrics.counter(name).inc();
    }
}
