package org.magnoliavane.node.dispatch;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.node.decision.DecisionLog;
import org.magnoliavane.node.placement.PlacementService;

/** Holds what every run of a model request uses. */
record DispatchContext(
        EngineClient engines,
        AttemptCanceller canceller,
        PlacementService placements,
        Supplier<ClusterView> view,
        ScheduledExecutorService timers,
        DecisionLog decisions,
        MetricRegistry metrics) {

    void count(String name) {
        metrics.counter(name).inc();
    }
}
