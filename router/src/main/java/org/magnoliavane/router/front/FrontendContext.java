package org.magnoliavane.router.front;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.router.RoutingState;
import org.magnoliavane.router.dispatch.Dispatcher;
import org.magnoliavane.router.dispatch.WireFormat;
import org.magnoliavane.router.settings.RouterSettings;

/**
 * What the server for callers uses.
 *
 * @param settings the settings of the process
 * @param fleet configuration and workers
 * @param wire translates requests
 * @param dispatcher runs requests
 * @param freshness says whether the configuration is current
 * @param directory lists the nodes
 * @param ready says whether this node is ready
 * @param departure says what a leaving node may still take
 * @param timers runs timeouts
 * @param millis a monotonic clock in milliseconds
 * @param metrics counters and histograms
 */
public record FrontendContext(
        RouterSettings settings,
        RoutingState fleet,
        WireFormat wire,
        Dispatcher dispatcher,
        Freshness freshness,
        NodeDirectory directory,
        BooleanSupplier ready,
        GracefulShutdown departure,
        ScheduledExecutorService timers,
        LongSupplier millis,
        MetricRegistry metrics) {}
