package org.magnoliavane.router.front;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.router.RoutingState;
import org.magnoliavane.router.dispatch.Dispatcher;
import org.magnoliavane.router.dispatch.WireFormat;
import org.magnoliavane.router.explain.RequestExplainer;
import org.magnoliavane.router.peer.UsageLimiter;
import org.magnoliavane.router.settings.RouterSettings;

/**
 * The dependencies of the frontend server.
 *
 * @param settings the settings of the process
 * @param routingState the configuration and the workers
 * @param wire translates requests and responses
 * @param dispatcher executes requests
 * @param explainer explains where requests would be sent
 * @param refresher refreshes the configuration and the workers
 * @param directory lists the addresses for callers
 * @param ready returns whether this node is ready for requests
 * @param shutdown decides which requests are accepted while the node shuts down
 * @param usage limits what organisations use
 * @param budget bounds the bytes that are buffered
 * @param timers schedules timeouts
 * @param millis a monotonic clock in milliseconds
 * @param metrics the metrics of the node
 */
public record FrontendContext(
        RouterSettings settings,
        RoutingState routingState,
        WireFormat wire,
        Dispatcher dispatcher,
        RequestExplainer explainer,
        StateRefresher refresher,
        NodeDirectory directory,
        BooleanSupplier ready,
        GracefulShutdown shutdown,
        UsageLimiter usage,
        ByteBudget budget,
        ScheduledExecutorService timers,
        LongSupplier millis,
        MetricRegistry metrics) {}
