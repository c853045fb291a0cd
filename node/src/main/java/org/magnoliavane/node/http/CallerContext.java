package org.magnoliavane.node.http;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.NodeRun;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.node.decision.DecisionLog;
import org.magnoliavane.node.dispatch.ModelDispatcher;
import org.magnoliavane.node.keyed.KeyedRequestService;
import org.magnoliavane.node.keyed.PlainDispatcher;

/**
 * Holds the dependencies of {@link CallerServer} and {@link OperatorServer}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the run of this node
 * @param configuration gets the configuration in force
 * @param view gets the nodes and backend servers
 * @param models executes model requests
 * @param keyedRequests executes plain requests with an idempotency key
 * @param plain sends plain requests without an idempotency key
 * @param timers runs delayed tasks; its owner stops it after the servers have closed
 * @param decisions records decisions
 * @param metrics the metrics of this node
 */
public record CallerContext(
        NodeRun self,
        Supplier<Configuration> configuration,
        Supplier<ClusterView> view,
        ModelDispatcher models,
        KeyedRequestService keyedRequests,
        PlainDispatcher plain,
        ScheduledExecutorService timers,
        DecisionLog decisions,
        MetricRegistry metrics) {}
