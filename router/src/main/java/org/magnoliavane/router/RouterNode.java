package org.magnoliavane.router;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.balance.AdmissionForecast;
import org.magnoliavane.balance.Backlog;
import org.magnoliavane.balance.RetryBudget;
import org.magnoliavane.balance.StoreAvailability;
import org.magnoliavane.balance.UnreachableWorkers;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerSelector;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.membership.OwnRecord;
import org.magnoliavane.membership.RendezvousHashing;
import org.magnoliavane.poison.PoisonDetector;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.protocol.generated.ServiceBacklog;
import org.magnoliavane.protocol.generated.StorePeriod;
import org.magnoliavane.protocol.generated.WorkerPause;
import org.magnoliavane.router.dispatch.AdmissionControl;
import org.magnoliavane.router.dispatch.AdmissionQueues;
import org.magnoliavane.router.dispatch.DispatchContext;
import org.magnoliavane.router.dispatch.Dispatcher;
import org.magnoliavane.router.dispatch.IdleCapacityMonitor;
import org.magnoliavane.router.dispatch.PoisonGuard;
import org.magnoliavane.router.dispatch.RetryBudgets;
import org.magnoliavane.router.dispatch.WireFormat;
import org.magnoliavane.router.dispatch.WorkerEndDetector;
import org.magnoliavane.router.explain.ExplainContext;
import org.magnoliavane.router.explain.RequestExplainer;
import org.magnoliavane.router.front.FrontendContext;
import org.magnoliavane.router.front.FrontendServer;
import org.magnoliavane.router.front.GracefulShutdown;
import org.magnoliavane.router.front.StateRefresher;
import org.magnoliavane.router.peer.LiveNodes;
import org.magnoliavane.router.peer.PeerChannel;
import org.magnoliavane.router.peer.PeerReports;
import org.magnoliavane.router.peer.PeerReservationService;
import org.magnoliavane.router.peer.PeerStoreUpdates;
import org.magnoliavane.router.peer.PeerTable;
import org.magnoliavane.router.peer.UsageLimiter;
import org.magnoliavane.router.roles.OrderFormat;
import org.magnoliavane.router.roles.RoleController;
import org.magnoliavane.router.roles.RoleOrderSender;
import org.magnoliavane.router.settings.RouterSettings;
import org.magnoliavane.router.store.EntryFormat;
import org.magnoliavane.router.store.KeyedStore;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.router.store.ReadSchedule;
import org.magnoliavane.router.store.Topic;
import org.magnoliavane.router.store.TopicFollower;
import org.magnoliavane.router.store.TopicListener;
import org.magnoliavane.router.store.TopicSource;
import org.magnoliavane.routing.OutdatedConfiguration;
import org.magnoliavane.routing.UsageCap;

/**
 * Runs a router process: creates and connects its components and stops them in order.
 *
 * <p>Thread-safe.
 */
public final class RouterNode implements AutoCloseable, StateRefresher {
    private static final Logger LOG = System.getLogger(RouterNode.class.getName());

    /**
     * Half of the time that the store holds a read of the nodes open. It is shorter than the time after which a
     * store that does not answer is suspected to be down.
     */
    private static final long RARE_CHANGE_WAIT_MILLIS = 4000;

    /** Minimum interval between two reads of the nodes, all of which list themselves when a deployment starts. */
    private static final long NODES_READ_INTERVAL_MILLIS = 1000;

    /** Maximum wait for the store before a request continues with the known state. */
    private static final long REFRESH_TIMEOUT_MILLIS = 800;

    /** The same after the start, when the node can serve no request without the state. */
    private static final long START_REFRESH_TIMEOUT_MILLIS = 3000;

    /** Interval of the check for pauses of the process. */
    private static final long TICK_MILLIS = 100;

    /** Interval at which the load of prefill and decode workers is evaluated. */
    private static final long ROLE_BALANCE_INTERVAL_MILLIS = 250;

    /** Interval of the check for requests that wait while workers are idle. */
    private static final long IDLE_CAPACITY_INTERVAL_MILLIS = 500;

    /** Key by which the nodes elect the one that changes the roles of workers. */
    private static final String ROLE_ELECTION_KEY = "roles";

    /** Delay of a tick, or drift between the two clocks, above which the process or its VM is considered paused. */
    private static final long PAUSE_THRESHOLD_MILLIS = 700;

    /** Delay before this node is listed again when the store did not confirm its listing. */
    private static final long LISTING_RETRY_MILLIS = 1000;

    /** Maximum delay before this node is listed again after a rollback of the store has lost its listing. */
    private static final long MAX_RELIST_DELAY_MILLIS = 1000;

    /** Time after the end of listening in which requests on connections that were just accepted are still refused. */
    private static final long LAST_REQUESTS_MILLIS = 50;

    /** Number of address lifetimes for which some callers continue to use an address. */
    private static final int CACHED_ADDRESS_LIFETIMES = 3;

    /** Number of renewals in a row that the store must miss before the listing of a running worker expires. */
    private static final int MISSED_RENEWALS = 2;

    private static final long CONNECT_TIMEOUT_MILLIS = 300;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RouterSettings settings;
    private final KeyedStore store;
    private final NodeListing self;
    private final LongSupplier millis = () -> System.nanoTime() / NANOS_PER_MILLI;
    private final ScheduledExecutorService timers = DaemonTimers.open("timers", 1);
    private final MetricRegistry metrics = new MetricRegistry();
    private final LoopFailures failures = LoopFailures.create(metrics);
    private final ByteBudget budget = ByteBudget.ofHeap();
    private final RoutingState routingState = new RoutingState();
    private final StoreAvailability availability;
    private final PeerTable peerTable;
    private final WorkerLoadTracker loadTracker = new WorkerLoadTracker(this::onLoadChanged);
    private final UnreachableWorkers unreachableWorkers = new UnreachableWorkers();
    private final HttpClient client;
    private final TopicFollower configurationFollower;
    private final TopicFollower workerFollower;
    private final WorkerController workerController;
    private final TopicFollower nodeFollower;
    private final NodeController nodeController;
    private final OwnRecord ownRecord = new OwnRecord();
    private final OutdatedConfiguration outdatedConfiguration = new OutdatedConfiguration();
    private final PeerChannel peerChannel;
    private final PeerStoreUpdates storeUpdates;
    private final PeerReports peerReports;
    private final AdmissionQueues admissionQueues;
    private final AdmissionForecast admissionForecast = new AdmissionForecast();
    private final RoleOrderSender roleOrderSender;
    private final RoleController roleController;
    private final Dispatcher dispatcher;
    private final FrontendServer frontend;
    private final GracefulShutdown shutdown = new GracefulShutdown();
    private final AtomicReference<CompletableFuture<Void>> pendingRefresh =
            new AtomicReference<>(CompletableFuture.completedFuture(null));
    private final CompletableFuture<Void> workersConfirmed = new CompletableFuture<>();
    private final AtomicLong workersKnownMillis = new AtomicLong();
    private long lastTickMonotonicMillis;
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
        this.peerTable = PeerTable.create(settings.contactMillis());
        this.client = HttpClient.open("workers", CONNECT_TIMEOUT_MILLIS);
        this.availability = StoreAvailability.withMinimumOutage(MISSED_RENEWALS * settings.listingRenewalMillis());
        this.workerController = new WorkerController(
                routingState,
                loadTracker,
                entries,
                settings.listingGraceMillis(),
                availability,
                millis,
                this::onRoleChanged);
        this.roleOrderSender = new RoleOrderSender(
                self.name(),
                store,
                w -> routingState.isUsable(w) && loadTracker.getNotices().isUsable(w, millis.getAsLong()),
                client,
                orders,
                settings.orderLeaseMillis(),
                millis);
        this.roleController = new RoleController(this::isElected, routingState, loadTracker, roleOrderSender, millis);
        this.peerChannel = PeerChannel.open(self, failures);
        this.storeUpdates = PeerStoreUpdates.create(self, peerTable, peerChannel, millis);
        this.configurationFollower = createFollower(
                Topic.CONFIGURATION,
                new ConfigurationController(routingState, entries),
                // A change counts from the later of its own bound and the end of the disruption.
                ReadSchedule.heldOpenWithin(Math.max(settings.configurationMillis(), settings.contactMillis())));
        this.workerFollower =
                createFollower(Topic.WORKERS, workerController, ReadSchedule.within(settings.drainMillis()));
        this.nodeController = new NodeController(peerTable, entries, self, millis);
        this.nodeFollower = createFollower(
                Topic.NODES,
                nodeController,
                ReadSchedule.heldOpen(2 * RARE_CHANGE_WAIT_MILLIS, NODES_READ_INTERVAL_MILLIS));
        storeUpdates.start(Map.of(
                Topic.CONFIGURATION, configurationFollower, Topic.WORKERS, workerFollower, Topic.NODES, nodeFollower));
        WorkerEndDetector workerEnds = new WorkerEndDetector(client, timers);
        PoisonGuard poisonGuard =
                new PoisonGuard(new PoisonDetector(this::ownsTrials), workerEnds, timers, millis, this::onCrash);
        this.admissionQueues = new AdmissionQueues(
                timers,
                millis,
                () -> ThreadLocalRandom.current().nextDouble(),
                service -> peerTable.hasOnTimeRequests(service, millis.getAsLong()),
                this::onLoadChanged,
                failures);
        this.peerReports = PeerReports.open(
                peerChannel, peerTable, loadTracker, poisonGuard, millis, this::createReport, this::onPeerReport);
        WorkerSelector workerSelector = new WorkerSelector(
                loadTracker, settings.zone(), () -> ThreadLocalRandom.current().nextDouble());
        PeerReservationService reservationService = PeerReservationService.open(self, peerTable, peerChannel, millis);
        reservationService.registerMetrics(metrics);
        long startMillis = millis.getAsLong();
        RetryBudgets retryBudgets = new RetryBudgets(
                () -> createRetryBudget(settings, startMillis), () -> peerTable.countNodes(millis.getAsLong()), millis);
        this.dispatcher = new Dispatcher(new DispatchContext(
                routingState,
                workerFollower::getAgeMillis,
                loadTracker,
                workerSelector,
                admissionQueues,
                new AdmissionControl(
                        admissionForecast,
                        w -> loadTracker
                                .getSpeeds()
                                .findStepMillis(w.server().service(), w.id(), millis.getAsLong())
                                .orElse(0),
                        millis,
                        () -> ThreadLocalRandom.current().nextDouble()),
                reservationService,
                retryBudgets,
                poisonGuard,
                workerEnds,
                this::onUnreachable,
                client,
                wire,
                budget,
                timers,
                millis,
                () -> ThreadLocalRandom.current().nextDouble(),
                metrics));
        pendingRefresh.set(CompletableFuture.allOf(
                        refreshState(START_REFRESH_TIMEOUT_MILLIS).thenRun(this::areWorkersConfirmed), workersConfirmed)
                .completeOnTimeout(null, START_REFRESH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        nodeFollower.refresh();
        this.frontend = FrontendServer.open(new FrontendContext(
                settings,
                routingState,
                wire,
                dispatcher,
                new RequestExplainer(new ExplainContext(
                        self.name(),
                        routingState,
                        loadTracker,
                        dispatcher,
                        wire::toStatus,
                        configurationFollower::getAgeMillis,
                        workerFollower::getAgeMillis,
                        settings.drainMillis(),
                        this::getLiveNodes,
                        shutdown::canAccept,
                        millis)),
                this,
                this::getCallerAddresses,
                this::isReady,
                shutdown,
                UsageLimiter.open(self, peerTable, peerChannel, this::findUsageCap, millis, metrics),
                budget,
                timers,
                millis,
                metrics));
        metrics.register("configuration.version", (Gauge<Long>) this::getConfigurationVersion);
        metrics.register("store.era", (Gauge<Long>) this::getStoreEra);
        BudgetMetrics.register(metrics, budget);
        metrics.register("admission.waiting", (Gauge<Integer>) () -> admissionQueues.getBacklogs().stream()
                .mapToInt(Backlog::requests)
                .sum());
        metrics.register("nodes.known", (Gauge<Integer>) () -> peerTable.countNodes(millis.getAsLong()));
        listSelf();
        startPauseDetection();
        IdleCapacityMonitor idleCapacity =
                IdleCapacityMonitor.create(admissionQueues, routingState, loadTracker, millis, metrics);
        failures.repeat("idle_capacity", timers, IDLE_CAPACITY_INTERVAL_MILLIS, idleCapacity::check);
        failures.repeat("roles", timers, ROLE_BALANCE_INTERVAL_MILLIS, roleController::evaluateServices);
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
     * @param settings the settings of the node
     * @param store the store of configuration, workers and nodes
     * @param entries reads the entries of the store
     * @param wire translates requests and responses
     * @param orders translates role orders to workers
     * @return the running node
     * @throws IOException if a port cannot be bound
     */
    public static RouterNode start(
            RouterSettings settings, KeyedStore store, EntryFormat entries, WireFormat wire, OrderFormat orders)
            throws IOException {
        return new RouterNode(settings, store, entries, wire, orders);
    }

    /**
     * Returns whether this node should receive requests.
     *
     * @return true if a configuration and the workers are known and the node is not shutting down
     */
    public boolean isReady() {
        return routingState.getRoutingTable().isPresent() && areWorkersConfirmed() && !shutdown.isShuttingDown();
    }

    /**
     * Returns whether the workers are known and, if the store has ever been rolled back, have renewed their entries since this
     * node started. Workers that have not done so within two renewal intervals are not waited for.
     */
    private boolean areWorkersConfirmed() {
        if (workersConfirmed.isDone() || !workerFollower.isKnown()) {
            return workersConfirmed.isDone();
        }
        long now = millis.getAsLong();
        workersKnownMillis.compareAndSet(0, now);
        boolean waitedLongEnough = now - workersKnownMillis.get() > MISSED_RENEWALS * settings.listingRenewalMillis();
        if (waitedLongEnough || !workerController.needsOwnReads()) {
            workersConfirmed.complete(null);
        }
        return workersConfirmed.isDone();
    }

    @Override
    public CompletionStage<Void> whenRefreshed() {
        return pendingRefresh.get();
    }

    @Override
    public CompletionStage<Boolean> refreshConfiguration(long maxAgeMillis) {
        if (configurationFollower.getAgeMillis() < maxAgeMillis) {
            return CompletableFuture.completedFuture(true);
        }
        return configurationFollower
                .refresh()
                .toCompletableFuture()
                .copy()
                .thenApply(done -> true)
                .completeOnTimeout(
                        false, shutdown.limitWait(millis.getAsLong(), REFRESH_TIMEOUT_MILLIS), TimeUnit.MILLISECONDS);
    }

    /**
     * Removes this node from the store, serves until callers no longer use its address and no request is active, and
     * then stops.
     */
    @Override
    public void close() {
        long start = millis.getAsLong();
        if (!shutdown.start(start, settings.stopGraceMillis())) {
            return;
        }
        GracefulShutdown.Schedule schedule = shutdown.getSchedule();
        LOG.log(Level.INFO, "event=leaving node={0} active={1}", self.name(), frontend.countActive());
        peerReports.sendToAll();
        removeSelf();
        long addressesExpired = start + (long) (CACHED_ADDRESS_LIFETIMES * 1000 * settings.addressLifetimeSeconds());
        awaitUntil(
                schedule.answerByMillis(), () -> millis.getAsLong() >= addressesExpired && frontend.countActive() == 0);
        // Callers may use the node until it is gone. A request that is accepted from now on would be cut off.
        shutdown.stopAccepting();
        awaitUntil(schedule.answerByMillis(), () -> frontend.countActive() == 0);
        dispatcher.answerAll();
        // Ends the listening last, because it resets connections that have not been accepted.
        awaitUntil(schedule.stopReadingMillis() - LAST_REQUESTS_MILLIS, () -> !frontend.hasUnwrittenResponses());
        frontend.stopListening();
        awaitUntil(Math.min(schedule.stopReadingMillis(), millis.getAsLong() + LAST_REQUESTS_MILLIS), () -> false);
        // A request that is read from now on might be left without an answer; one that is not read is sent elsewhere.
        int unread = frontend.stopReading(Math.max(0, schedule.exitMillis() - millis.getAsLong()));
        LOG.log(Level.INFO, "event=reading_stopped node={0} closed_unread={1}", self.name(), unread);
        awaitUntil(schedule.exitMillis(), () -> !frontend.hasUnwrittenResponses());
        LOG.log(Level.INFO, "event=stop node={0} active={1}", self.name(), frontend.countActive());
        frontend.close();
        peerChannel.close();
        timers.shutdownNow();
        try {
            client.close();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "event=close_failed reason=\"{0}\"", e.getMessage());
        }
    }

    private void awaitUntil(long endMillis, BooleanSupplier condition) {
        while (millis.getAsLong() < endMillis && !condition.getAsBoolean()) {
            try {
                Thread.sleep(Math.min(TICK_MILLIS, Math.max(1, endMillis - millis.getAsLong())));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private TopicFollower createFollower(Topic topic, TopicListener listener, ReadSchedule schedule) {
        return new TopicFollower(
                new TopicSource(store, topic, schedule),
                listener,
                timers,
                millis,
                storeUpdates::send,
                storeUpdates::ask,
                failures);
    }

    private Optional<UsageCap> findUsageCap(String organisation) {
        return routingState.getRoutingTable().flatMap(r -> r.findUsageCap(organisation));
    }

    private long getConfigurationVersion() {
        return routingState.getRoutingTable().map(r -> r.getVersion()).orElse(0L);
    }

    private List<String> getCallerAddresses() {
        Stream<String> own = isReady() ? Stream.of(settings.callers().toString()) : Stream.empty();
        boolean selfUsable = isReady() && !isCutOff();
        return Stream.concat(own, peerTable.getCallerAddresses(selfUsable, millis.getAsLong()).stream())
                .toList();
    }

    /** Returns whether this node hears neither another node nor the store, so that it cannot tell which nodes are gone. */
    private boolean isCutOff() {
        return getLiveNodes().count() == 1 && workerFollower.getAgeMillis() > settings.contactMillis();
    }

    private NodeReport createReport() {
        NodeReport.Builder report = NodeReport.newBuilder()
                .setNode(self.name())
                .setRun(self.run())
                .setReady(isReady())
                .setLeaving(shutdown.isShuttingDown())
                .setConfigurationVersion(getConfigurationVersion())
                .setStoreEra(getStoreEra())
                .addAllPunctualServices(admissionQueues.getServicesWithOnTimeRequests())
                .addAllPauses(toPauses(roleController.getPendingChanges()))
                .addAllUnreachable(
                        toPauses(unreachableWorkers.getReported(routingState.countWorkers(), millis.getAsLong())));
        roleOrderSender.addTo(report);
        admissionQueues
                .getBacklogs()
                .forEach(b -> report.addBacklogs(ServiceBacklog.newBuilder()
                        .setService(b.service())
                        .setUrgency(b.urgency())
                        .setRequests(b.requests())
                        .setTokens((int) b.tokens())));
        availability.findPeriod().ifPresent(p -> report.setStoreServed(toStorePeriod(p)));
        return report.build();
    }

    private static List<WorkerPause> toPauses(Map<String, Long> remainingMillis) {
        return remainingMillis.entrySet().stream()
                .map(e -> WorkerPause.newBuilder()
                        .setWorker(e.getKey())
                        .setMillis(e.getValue().intValue())
                        .build())
                .toList();
    }

    private StorePeriod toStorePeriod(StoreAvailability.Period period) {
        return StorePeriod.newBuilder()
                .setAgeMillis(millis.getAsLong() - period.untilMillis())
                .setLengthMillis(period.untilMillis() - period.sinceMillis())
                .build();
    }

    private void recordStorePeriod(StorePeriod served) {
        long until = millis.getAsLong() - served.getAgeMillis();
        availability.record(new StoreAvailability.Period(until - served.getLengthMillis(), until));
    }

    private void onCrash() {
        peerReports.scheduleEvidenceReport();
    }

    /** Returns whether this node sends the trials of a feature that crashed workers, as {@link #isElected}. */
    private boolean ownsTrials(long feature) {
        return isOwner(Long.toHexString(feature));
    }

    /** Tells the other nodes at once, before each of them loses requests to the same worker. */
    private void onUnreachable(String worker, long untilMillis) {
        if (unreachableWorkers.record(worker, untilMillis, millis.getAsLong())) {
            peerReports.sendToAll();
        }
    }

    private void onPeerReport(NodeReport report) {
        observeEra(report.getStoreEra());
        refreshOutdatedConfiguration();
        roleOrderSender.onPeerReport(report);
        admissionForecast.updatePeer(
                report.getNode(),
                report.getBacklogsList().stream()
                        .map(b -> new Backlog(b.getService(), b.getUrgency(), b.getRequests(), b.getTokens()))
                        .toList(),
                millis.getAsLong());
        if (report.hasStoreServed()) {
            recordStorePeriod(report.getStoreServed());
        }
    }

    /**
     * Reads the configuration if another node has a newer one, for example after the open read was cut off without an
     * error.
     */
    private void refreshOutdatedConfiguration() {
        if (outdatedConfiguration.startRead(
                getConfigurationVersion(),
                peerTable.getNewestConfigurationVersion(),
                configurationFollower.getAgeMillis())) {
            configurationFollower.refresh();
        }
    }

    /**
     * Returns whether this node changes the roles of workers. All nodes that know the same set of nodes elect the same
     * one.
     */
    private boolean isElected() {
        return isReady() && isOwner(ROLE_ELECTION_KEY);
    }

    private boolean isOwner(String name) {
        return RendezvousHashing.isOwner(
                name, self.name(), peerTable.getLiveListings(millis.getAsLong()), NodeListing::name, 1);
    }

    private LiveNodes getLiveNodes() {
        return LiveNodes.collect(self, peerTable, millis.getAsLong());
    }

    private void onRoleChanged(String worker) {
        roleController.onRoleListed(worker);
    }

    private void onLoadChanged() {
        peerReports.scheduleChangeReport();
    }

    /** Gets the highest epoch of the store from which this node has read a topic. */
    private long getStoreEra() {
        return Math.max(configurationFollower.getEra(), Math.max(workerFollower.getEra(), nodeFollower.getEra()));
    }

    /** Lets each topic be read again that was last read in an older epoch of the store. */
    private void observeEra(long era) {
        configurationFollower.observeEra(era);
        workerFollower.observeEra(era);
        nodeFollower.observeEra(era);
    }

    private void detectRollback() {
        long era = getStoreEra();
        observeEra(era);
        roleOrderSender.onStoreEra(era);
        if (isOwnRecordLost()) {
            // Nodes that write in the same moment would burden the store when it comes back.
            long delay = ThreadLocalRandom.current().nextLong(MAX_RELIST_DELAY_MILLIS);
            LOG.log(Level.INFO, "event=listing_lost node={0} delay_millis={1}", self.name(), Long.toString(delay));
            ownRecord.startWrite(!shutdown.isShuttingDown());
            timers.schedule(this::writeSelf, delay, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isOwnRecordLost() {
        return ownRecord.isLost(nodeFollower.getEra(), nodeController.isSelfListed(), millis.getAsLong());
    }

    private void writeSelf() {
        if (shutdown.isShuttingDown()) {
            removeSelf();
        } else {
            listSelf();
        }
    }

    private void listSelf() {
        if (shutdown.isShuttingDown()) {
            return;
        }
        ownRecord.startWrite(true);
        failures.call("listing", () -> store.listNode(self)).whenComplete((era, failure) -> {
            if (failure != null) {
                LOG.log(Level.WARNING, "event=list_failed reason=\"{0}\"", failure.getMessage());
                timers.schedule(this::listSelf, LISTING_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            ownRecord.confirmWrite(true, era, millis.getAsLong());
        });
    }

    private void removeSelf() {
        ownRecord.startWrite(false);
        store.removeNode(self.name()).whenComplete((era, failure) -> {
            if (failure != null) {
                LOG.log(Level.WARNING, "event=unlist_failed reason=\"{0}\"", failure.getMessage());
                return;
            }
            ownRecord.confirmWrite(false, era, millis.getAsLong());
        });
    }

    private void startPauseDetection() {
        lastTickMonotonicMillis = millis.getAsLong();
        lastTickWallMillis = System.currentTimeMillis();
        failures.repeat("ticks", timers, TICK_MILLIS, () -> {
            failures.run("pauses", this::detectPause);
            failures.run("expiry", workerController::removeExpired);
            failures.run("expiry", nodeController::removeExpired);
            failures.run("rollback", this::detectRollback);
            failures.run("start", this::areWorkersConfirmed);
        });
    }

    private void detectPause() {
        long now = millis.getAsLong();
        long wall = System.currentTimeMillis();
        long monotonic = now - lastTickMonotonicMillis;
        long drift = wall - lastTickWallMillis - monotonic;
        lastTickMonotonicMillis = now;
        lastTickWallMillis = wall;
        if (monotonic < PAUSE_THRESHOLD_MILLIS && Math.abs(drift) < PAUSE_THRESHOLD_MILLIS) {
            return;
        }
        LOG.log(
                Level.WARNING,
                "event=standstill tick_millis={0} drift_millis={1}",
                Long.toString(monotonic),
                Long.toString(drift));
        availability.reset();
        pendingRefresh.set(refreshState(REFRESH_TIMEOUT_MILLIS));
    }

    /** Reads the configuration and the workers. Requests wait until both are read or the timeout has passed. */
    private CompletableFuture<Void> refreshState(long timeoutMillis) {
        return CompletableFuture.allOf(
                        configurationFollower.refresh().toCompletableFuture().copy(),
                        workerFollower.refresh().toCompletableFuture().copy())
                .completeOnTimeout(null, timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private static RetryBudget createRetryBudget(RouterSettings settings, long startMillis) {
        double ratio = settings.retryRatio();
        double allowance = settings.retryAllowance();
        long windowMillis = settings.retryWindowMillis();
        return settings.firstStart()
                ? new RetryBudget(ratio, allowance, windowMillis)
                : RetryBudget.startedAt(ratio, allowance, windowMillis, startMillis);
    }
}
