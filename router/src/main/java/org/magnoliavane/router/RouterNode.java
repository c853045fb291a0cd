package org.magnoliavane.router;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.balance.CrashTracker;
import org.magnoliavane.balance.RetryBudget;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerSelector;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.membership.RendezvousHashing;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.protocol.generated.WorkerPause;
import org.magnoliavane.router.dispatch.AdmissionQueues;
import org.magnoliavane.router.dispatch.DispatchContext;
import org.magnoliavane.router.dispatch.Dispatcher;
import org.magnoliavane.router.dispatch.RetryBudgets;
import org.magnoliavane.router.dispatch.WireFormat;
import org.magnoliavane.router.front.Freshness;
import org.magnoliavane.router.front.FrontendContext;
import org.magnoliavane.router.front.FrontendServer;
import org.magnoliavane.router.front.GracefulShutdown;
import org.magnoliavane.router.peer.PeerChannel;
import org.magnoliavane.router.peer.PeerReports;
import org.magnoliavane.router.peer.PeerReservationService;
import org.magnoliavane.router.peer.PeerTable;
import org.magnoliavane.router.roles.OrderFormat;
import org.magnoliavane.router.roles.RoleController;
import org.magnoliavane.router.roles.RoleOrders;
import org.magnoliavane.router.settings.RouterSettings;
import org.magnoliavane.router.store.EntryFormat;
import org.magnoliavane.router.store.KeyedStore;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.router.store.Topic;
import org.magnoliavane.router.store.TopicFollower;
import org.magnoliavane.router.store.TopicListener;

/**
 * A router process: builds and connects the parts, and stops them in order.
 *
 * <p>Thread-safe.
 */
public final class RouterNode implements AutoCloseable, Freshness {
    private static final Logger LOG = System.getLogger(RouterNode.class.getName());

    /** How long a read of rare changes waits at the store; shorter than the time after which silence is suspicious. */
    private static final long RARE_WAIT_MILLIS = 4000;

    /** How long a read of the workers waits at the store. */
    private static final long WORKERS_WAIT_MILLIS = 1000;

    /**
     * Pause between two reads of the workers, as a share of the time within which a leaving worker must be left alone. Their
     * heartbeats come in batches then; every call to the store has its price.
     */
    private static final double WORKERS_PACE_SHARE = 0.5;

    /** Longest wait for the store before a request goes on with what is known. */
    private static final long FRESH_WAIT_MILLIS = 800;

    /** Interval of the check for standstills of the process. */
    private static final long TICK_MILLIS = 100;

    /** Interval of the looks at the load of the two roles of workers. */
    private static final long ROLES_TICK_MILLIS = 250;

    /** Names the duty for the election of the node that has it. */
    private static final String ROLES_DUTY = "roles";

    /** Delay of a tick, or drift between the clocks, that means that the process or its VM stood still. */
    private static final long STANDSTILL_MILLIS = 700;

    /** Time after which a listing of this node that the store did not confirm is sent again. */
    private static final long LISTING_RETRY_MILLIS = 1000;

    /** Time before the end of the stop grace at which the process exits in any case. */
    private static final long EXIT_LEAD_MILLIS = 600;

    /** Number of address lifetimes for which some callers keep an address. */
    private static final int KEPT_LIFETIMES = 3;

    /** Number of crashed workers after which a request content is refused. */
    private static final int MAX_CRASHES = 3;

    private static final long CONNECT_TIMEOUT_MILLIS = 300;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RouterSettings settings;
    private final KeyedStore store;
    private final NodeListing self;
    private final LongSupplier millis = () -> System.nanoTime() / NANOS_PER_MILLI;
    private final ScheduledExecutorService timers = DaemonTimers.open("timers", 1);
    private final MetricRegistry metrics = new MetricRegistry();
    private final RoutingState fleet = new RoutingState();
    private final PeerTable peers = new PeerTable();
    private final WorkerLoadTracker ledger = new WorkerLoadTracker(this::loadChanged);
    private final HttpClient client;
    private final TopicFollower configuration;
    private final TopicFollower workers;
    private final PeerChannel peerChannel;
    private final PeerReports reports;
    private final AdmissionQueues rooms;
    private final RoleOrders roleOrders;
    private final RoleController roles;
    private final FrontendServer front;
    private final GracefulShutdown departure = new GracefulShutdown();
    private final AtomicReference<CompletableFuture<Void>> current =
            new AtomicReference<>(CompletableFuture.completedFuture(null));
    private long lastTickMillis;
    private long lastTickWallMillis;

    private RouterNode(
            RouterSettings settings, KeyedStore store, EntryFormat entries, WireFormat wire, OrderFormat orders)
            throws IOException {
        this.settings = settings;
        this.store = store;
        this.self = new NodeListing(
                settings.name(),
                ThreadLocalRandom.current().nextLong() >>> 1,
                settings.callers().host(),
                settings.callers().port(),
                settings.peerPort(),
                settings.zone());
        this.client = HttpClient.open("workers", CONNECT_TIMEOUT_MILLIS);
        WorkerController workerController =
                new WorkerController(fleet, ledger, entries, settings.lapseGraceMillis(), millis, this::roleChanged);
        this.roleOrders = new RoleOrders(self.name(), store, client, orders, settings.orderLeaseMillis(), millis);
        this.roles = new RoleController(this::isElected, fleet, ledger, roleOrders, millis);
        this.configuration =
                follow(Topic.CONFIGURATION, new ConfigurationController(fleet, entries), RARE_WAIT_MILLIS, 0);
        this.workers = follow(Topic.WORKERS, workerController, WORKERS_WAIT_MILLIS, (long)
                (WORKERS_PACE_SHARE * settings.drainMillis()));
        TopicFollower nodes =
                follow(Topic.NODES, new NodeController(peers, entries, self, millis), 2 * RARE_WAIT_MILLIS, 0);
        CrashTracker crashes = new CrashTracker(MAX_CRASHES);
        this.rooms = new AdmissionQueues(
                timers,
                millis,
                () -> ThreadLocalRandom.current().nextDouble(),
                service -> peers.hasPunctual(service, millis.getAsLong()),
                this::loadChanged);
        this.peerChannel = PeerChannel.open(self);
        this.reports =
                PeerReports.open(peerChannel, peers, ledger, crashes, millis, this::createReport, this::reported);
        WorkerSelector placement = new WorkerSelector(
                ledger, settings.zone(), () -> ThreadLocalRandom.current().nextDouble());
        RetryBudgets budgets = new RetryBudgets(
                () -> new RetryBudget(settings.retryRatio(), settings.retryAllowance(), settings.retryWindowMillis()),
                () -> peers.countNodes(millis.getAsLong()),
                millis);
        Dispatcher dispatcher = new Dispatcher(new DispatchContext(
                fleet,
                ledger,
                placement,
                rooms,
                PeerReservationService.open(self, peers, peerChannel, millis),
                budgets,
                crashes,
                reports::addCrash,
                client,
                wire,
                timers,
                millis,
                () -> ThreadLocalRandom.current().nextDouble(),
                metrics));
        this.front = FrontendServer.open(new FrontendContext(
                settings,
                fleet,
                wire,
                dispatcher,
                this,
                this::getCallerAddresses,
                this::isReady,
                departure,
                timers,
                millis,
                metrics));
        metrics.register("configuration.version", (Gauge<Long>) this::getVersion);
        metrics.register("nodes.known", (Gauge<Integer>) () -> peers.countNodes(millis.getAsLong()));
        List.of(configuration, workers, nodes).forEach(TopicFollower::refresh);
        list();
        startTicks(workerController);
        timers.scheduleWithFixedDelay(this::tickRoles, ROLES_TICK_MILLIS, ROLES_TICK_MILLIS, TimeUnit.MILLISECONDS);
        LOG.log(
                Level.INFO,
                "event=start node={0} run={1} zone={2}",
                self.name(),
                Long.toString(self.run()),
                self.zone());
    }

    /**
     * Starts a node.
     *
     * @param settings its settings
     * @param store the store
     * @param entries reads the entries of the store
     * @param wire translates requests
     * @param orders translates orders to workers
     * @return the running node
     * @throws IOException when it cannot listen
     */
    public static RouterNode start(
            RouterSettings settings, KeyedStore store, EntryFormat entries, WireFormat wire, OrderFormat orders)
            throws IOException {
        return new RouterNode(settings, store, entries, wire, orders);
    }

    /**
     * Says whether this node should get requests.
     *
     * @return true when it knows a configuration and the workers and is not leaving
     */
    public boolean isReady() {
        return fleet.getRoutingTable().isPresent() && workers.isKnown() && !departure.isLeaving();
    }

    @Override
    public CompletionStage<Void> whenCurrent() {
        return current.get();
    }

    @Override
    public CompletionStage<Boolean> readConfiguration() {
        return configuration
                .refresh()
                .toCompletableFuture()
                .copy()
                .thenApply(done -> true)
                .completeOnTimeout(false, FRESH_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Serves on until callers no longer use this node's address and nothing is in work, and then ends. */
    @Override
    public void close() {
        long start = millis.getAsLong();
        long last = start + settings.stopGraceMillis() - EXIT_LEAD_MILLIS;
        if (!departure.start(start, last)) {
            return;
        }
        LOG.log(Level.INFO, "event=leaving node={0} active={1}", self.name(), front.countActive());
        reports.sendToAll();
        store.removeNode(self.name()).whenComplete((done, failure) -> {
            if (failure != null) {
                LOG.log(Level.WARNING, "event=unlist_failed reason=\"{0}\"", failure.getMessage());
            }
        });
        long addressesGone = start + (long) (KEPT_LIFETIMES * 1000 * settings.addressLifetimeSeconds());
        while (millis.getAsLong() < last && (millis.getAsLong() < addressesGone || front.countActive() > 0)) {
            try {
                Thread.sleep(TICK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        LOG.log(Level.INFO, "event=stop node={0} active={1}", self.name(), front.countActive());
        front.close();
        peerChannel.close();
        timers.shutdownNow();
        try {
            client.close();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "event=close_failed reason=\"{0}\"", e.getMessage());
        }
    }

    private TopicFollower follow(Topic topic, TopicListener listener, long waitMillis, long paceMillis) {
        return new TopicFollower(store, topic, listener, timers, millis, waitMillis, paceMillis);
    }

    private long getVersion() {
        return fleet.getRoutingTable().map(r -> r.getVersion()).orElse(0L);
    }

    private List<String> getCallerAddresses() {
        Stream<String> own = isReady() ? Stream.of(settings.callers().toString()) : Stream.empty();
        return Stream.concat(own, peers.getCallerAddresses(millis.getAsLong()).stream())
                .toList();
    }

    private NodeReport createReport() {
        NodeReport.Builder report = NodeReport.newBuilder()
                .setNode(self.name())
                .setRun(self.run())
                .setReady(isReady())
                .setLeaving(departure.isLeaving())
                .setConfigurationVersion(getVersion())
                .addAllPunctualServices(rooms.getServicesWithOnTimeRequests())
                .addAllPauses(roles.getChanging().entrySet().stream()
                        .map(e -> WorkerPause.newBuilder()
                                .setWorker(e.getKey())
                                .setMillis(e.getValue().intValue())
                                .build())
                        .toList());
        roleOrders.addTo(report);
        return report.build();
    }

    private void reported(NodeReport report) {
        checkVersion();
        roleOrders.heard(report);
    }

    /** Reads the configuration when another node has a newer one, as after a read that was cut off silently. */
    private void checkVersion() {
        if (peers.getNewestVersion() > getVersion() && configuration.getAgeMillis() > TICK_MILLIS) {
            configuration.refresh();
        }
    }

    /** One node, on which all agree while they know the same nodes, changes the roles of workers. */
    private boolean isElected() {
        List<NodeListing> nodes = new ArrayList<>(peers.getLiveListings(millis.getAsLong()));
        nodes.add(self);
        return isReady()
                && RendezvousHashing.findOwner(ROLES_DUTY, nodes, NodeListing::name)
                        .filter(self::equals)
                        .isPresent();
    }

    private void roleChanged(String worker) {
        roles.changed(worker);
    }

    private void loadChanged() {
        reports.changed();
    }

    private void list() {
        if (departure.isLeaving()) {
            return;
        }
        store.listNode(self).whenComplete((done, failure) -> {
            if (failure != null) {
                LOG.log(Level.WARNING, "event=list_failed reason=\"{0}\"", failure.getMessage());
                timers.schedule(this::list, LISTING_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void startTicks(WorkerController workerController) {
        lastTickMillis = millis.getAsLong();
        lastTickWallMillis = System.currentTimeMillis();
        timers.scheduleWithFixedDelay(
                () -> {
                    tick();
                    workerController.expire();
                },
                TICK_MILLIS,
                TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void tickRoles() {
        try {
            roles.tick();
        } catch (RuntimeException e) {
            // A task that throws would not run again.
            LOG.log(Level.ERROR, "event=roles_failed", e);
        }
    }

    private void tick() {
        long now = millis.getAsLong();
        long wall = System.currentTimeMillis();
        long steady = now - lastTickMillis;
        long drift = wall - lastTickWallMillis - steady;
        lastTickMillis = now;
        lastTickWallMillis = wall;
        if (steady < STANDSTILL_MILLIS && Math.abs(drift) < STANDSTILL_MILLIS) {
            return;
        }
        LOG.log(
                Level.WARNING,
                "event=standstill tick_millis={0} drift_millis={1}",
                Long.toString(steady),
                Long.toString(drift));
        CompletableFuture<Void> reread = CompletableFuture.allOf(
                        configuration.refresh().toCompletableFuture().copy(),
                        workers.refresh().toCompletableFuture().copy())
                .completeOnTimeout(null, FRESH_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        current.set(reread);
    }
}
