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
 * Holds what the callers' server uses.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self this run of the node
 * @param configuration gets the configuration in force
 * @param view gets the nodes and backend servers
 * @param models runs model requests
 * @param keyed runs plain calls that carry a key
 * @param plain sends plain calls that carry none
 * @param timers runs timers; its owner stops it after the server
 * @param decisions records decisions
 * @param metrics counts and measures
 */
public record CallerContext(
        NodeRun self,
        Supplier<Configuration> configuration,
        Supplier<ClusterView> view,
        ModelDispatcher models,
        KeyedRequestService keyed,
        PlainDispatcher plain,
        ScheduledExecutorService timers,
        DecisionLog decisions,
        MetricRegistry metrics) {}
