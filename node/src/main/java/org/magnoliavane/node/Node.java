package org.magnoliavane.node;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.NodeRun;
import org.magnoliavane.config.Service;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.membership.NodeAddress;
import org.magnoliavane.node.configuration.ConfigurationController;
import org.magnoliavane.node.decision.RecentDecisions;
import org.magnoliavane.node.dispatch.HttpPlainDispatcher;
import org.magnoliavane.node.dispatch.ModelDispatcher;
import org.magnoliavane.node.http.CallerContext;
import org.magnoliavane.node.http.CallerServer;
import org.magnoliavane.node.http.OperatorServer;
import org.magnoliavane.node.keyed.PeerKeyedRequestService;
import org.magnoliavane.node.log.HttpLogService;
import org.magnoliavane.node.membership.MembershipController;
import org.magnoliavane.node.membership.NodeHeartbeat;
import org.magnoliavane.node.membership.VmListClient;
import org.magnoliavane.node.peer.PeerConfigurationSync;
import org.magnoliavane.node.peer.PeerNetwork;
import org.magnoliavane.node.placement.PeerPlacementService;
import org.magnoliavane.node.placement.PlacementCoordinator;
import org.magnoliavane.node.placement.PoisonRegistry;
import org.magnoliavane.node.settings.NodeSettings;
import org.magnoliavane.pool.PoolScheduler;
import org.magnoliavane.pool.SlackScheduler;
import org.magnoliavane.protocol.PeerCloseReason;

/**
 * Creates the components of a node, connects them, and closes them in the reverse order of their creation.
 *
 * <p>Thread-safe.
 */
public final class Node implements AutoCloseable {
    private static final Logger LOG = System.getLogger(Node.class.getName());
    private static final int MAX_DECISIONS = 20_000;
    private static final int TIMER_THREADS = 2;
    /** Exceeds the longest lifetime of an address and the longest time for which a response is generated. */
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 900_000;

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private final NodeRun run;
    private final MembershipController membership;
    private final CallerServer callerServer;

    private Node(NodeSettings settings) throws IOException {
        RandomGenerator random = new SecureRandom();
        run = new NodeRun(settings.id(), random.nextLong());
        MetricRegistry metrics = new MetricRegistry();
        RecentDecisions decisions =
                RecentDecisions.create(System.getLogger("org.magnoliavane.decisions"), MAX_DECISIONS);
        ScheduledThreadPoolExecutor timers = openTimers();
        HttpClient backends = register(HttpClient.open("backends"));
        HttpClient platform = register(HttpClient.open("platform"));

        HttpLogService log = new HttpLogService(platform, settings.log());
        ConfigurationController configuration =
                register(new ConfigurationController(log, settings.logRetentionMillis(), random));
        PoisonRegistry poison = new PoisonRegistry();
        NodeHeartbeat heartbeat = new NodeHeartbeat(poison);
        PeerNetwork network = register(PeerNetwork.create(settings.cluster(), run, settings.zone(), heartbeat));
        PeerConfigurationSync.connect(network, configuration);
        membership = register(MembershipController.start(
                toAddress(settings),
                VmListClient.create(
                        platform, settings.vmList().host(), settings.vmList().port()),
                network,
                configuration,
                settings.vmListPollMillis()));

        PlacementCoordinator coordinator = register(
                PlacementCoordinator.start(membership, configuration, Node::createScheduler, poison, backends));
        PeerPlacementService placements =
                register(PeerPlacementService.start(run, membership, network, coordinator, poison, decisions));
        ModelDispatcher models =
                ModelDispatcher.create(run, backends, placements, membership, timers, decisions, metrics);
        HttpPlainDispatcher plain = HttpPlainDispatcher.create(backends, configuration, membership, decisions);
        PeerKeyedRequestService keyed = register(PeerKeyedRequestService.start(run, network, membership, plain, log));

        heartbeat.setViewSource(membership);
        heartbeat.setConfigurationSource(configuration::findCurrent);
        network.listen(settings.host(), settings.peerPort());
        configuration.start();
        CallerContext callerContext =
                new CallerContext(run, configuration, membership, models, keyed, plain, timers, decisions, metrics);
        callerServer = register(CallerServer.open(callerContext, settings.host(), settings.callerPort()));
        register(OperatorServer.open(
                callerContext, callerServer, configuration::findCurrent, settings.host(), settings.operatorPort()));
        registerGauges(metrics, configuration, network);
        LOG.log(
                Level.INFO,
                "node {0} accepts requests from callers on {1}:{2,number,#}",
                run,
                settings.host(),
                settings.callerPort());
    }

    /**
     * Starts a node.
     *
     * @param settings the settings
     * @return the node, which accepts requests
     * @throws IOException if a port cannot be bound
     */
    public static Node start(NodeSettings settings) throws IOException {
        return new Node(settings);
    }

    /**
     * Stops the node gracefully. Callers are directed to other nodes, each accepted request is completed, and addresses
     * of this node that callers have received stay usable until their lifetime ends.
     */
    @Override
    public void close() {
        LOG.log(Level.INFO, "node {0} is shutting down", run);
        callerServer.startShutdown();
        membership.startShutdown();
        awaitShutdown();
        while (!resources.isEmpty()) {
            closeQuietly(resources.pop());
        }
        LOG.log(Level.INFO, "node {0} has stopped", run);
    }

    private void awaitShutdown() {
        try {
            callerServer.awaitShutdown().toCompletableFuture().get(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LOG.log(
                    Level.WARNING,
                    "node {0} stops although {1} requests are unanswered",
                    run,
                    callerServer.getActiveRequestCount());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            LOG.log(Level.ERROR, "waiting for accepted requests to complete failed", e);
        }
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            LOG.log(Level.WARNING, "a component of the node could not be closed", e);
        }
    }

    private <T extends AutoCloseable> T register(T resource) {
        resources.push(resource);
        return resource;
    }

    private ScheduledThreadPoolExecutor openTimers() {
        ScheduledThreadPoolExecutor timers = DaemonTimers.open("request-timers", TIMER_THREADS);
        resources.push(timers::shutdownNow);
        return timers;
    }

    private NodeAddress toAddress(NodeSettings settings) {
        return new NodeAddress(
                run,
                settings.host(),
                settings.callerPort(),
                settings.peerPort(),
                settings.operatorPort(),
                settings.zone(),
                false);
    }

    private static PoolScheduler createScheduler(Service service) {
        return SlackScheduler.of(service.model().orElseThrow());
    }

    private static void registerGauges(
            MetricRegistry metrics, ConfigurationController configuration, PeerNetwork network) {
        metrics.register(
                "configuration.version", (Gauge<Long>) () -> configuration.get().version());
        metrics.register("configuration.log_reachable", (Gauge<Boolean>) configuration::isLogReachable);
        for (PeerCloseReason reason : PeerCloseReason.values()) {
            metrics.register("peers.closed." + reason.name().toLowerCase(Locale.ROOT), (Gauge<Long>)
                    () -> network.getCloseCount(reason));
        }
    }
}
