package org.magnoliavane.node.placement;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.magnoliavane.BackendServer;
import org.magnoliavane.FaultKind;
import org.magnoliavane.NodeRun;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.config.Service;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.http.Failures;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.pool.AttemptPhase;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;
import org.magnoliavane.pool.PoolScheduler;
import org.magnoliavane.pool.SchedulerDecision;

/**
 * Coordinates the pools for which this node is the coordinator. Polls the load of their workers, cancels orphaned
 * attempts, and detects crashes by probing workers on which attempts have failed.
 *
 * <p>Thread-safe; all pools are accessed by a single thread.
 */
public final class PlacementCoordinator implements AutoCloseable {
    private static final Logger LOG = System.getLogger(PlacementCoordinator.class.getName());
    private static final long LOAD_POLL_INTERVAL_MILLIS = 250;
    private static final long UPDATE_INTERVAL_MILLIS = 50;
    /** Time between two probes of a worker, because a process that crashes may hold its port open for a moment. */
    private static final long SECOND_PROBE_DELAY_MILLIS = 200;

    private static final long RETRY_AFTER_MILLIS = 1000;

    private final Supplier<ClusterView> view;
    private final Supplier<Configuration> configuration;
    private final Function<Service, PoolScheduler> schedulerFactory;
    private final PoisonRegistry poison;
    private final EngineControl engineControl;
    private final ScheduledThreadPoolExecutor executor;
    private final long originNanos = System.nanoTime();
    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<String, OrphanDetector> orphanDetectors = new HashMap<>();
    private final Map<String, ScheduledFuture<?>> wakeups = new HashMap<>();
    private final Set<String> pendingLoads = ConcurrentHashMap.newKeySet();

    private PlacementCoordinator(
            Supplier<ClusterView> view,
            Supplier<Configuration> configuration,
            Function<Service, PoolScheduler> schedulerFactory,
            PoisonRegistry poison,
            EngineControl engineControl) {
        this.view = view;
        this.configuration = configuration;
        this.schedulerFactory = schedulerFactory;
        this.poison = poison;
        this.engineControl = engineControl;
        executor = DaemonTimers.open("placement", 1);
    }

    /**
     * Starts a coordinator.
     *
     * @param view provides the cluster view with nodes and workers
     * @param configuration provides the configuration in force
     * @param schedulerFactory creates the scheduler of a pool
     * @param poison the poison verdicts of this node
     * @param httpClient sends load report requests and cancellations
     * @return the coordinator
     */
    public static PlacementCoordinator start(
            Supplier<ClusterView> view,
            Supplier<Configuration> configuration,
            Function<Service, PoolScheduler> schedulerFactory,
            PoisonRegistry poison,
            HttpClient httpClient) {
        return start(view, configuration, schedulerFactory, poison, new HttpEngineControl(httpClient));
    }

    static PlacementCoordinator start(
            Supplier<ClusterView> view,
            Supplier<Configuration> configuration,
            Function<Service, PoolScheduler> schedulerFactory,
            PoisonRegistry poison,
            EngineControl engineControl) {
        PlacementCoordinator coordinator =
                new PlacementCoordinator(view, configuration, schedulerFactory, poison, engineControl);
        coordinator.scheduleRepeating(coordinator::updatePools, UPDATE_INTERVAL_MILLIS);
        coordinator.scheduleRepeating(coordinator::fetchLoads, LOAD_POLL_INTERVAL_MILLIS);
        return coordinator;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /**
     * Places an attempt and passes the decisions about it to a listener.
     *
     * @param failedIsolatedWorkers the workers on which the previous attempt failed while it ran isolated. They are probed
     *     first: if one has crashed, the content is poison, also if its coordinator was lost with that knowledge
     */
    void place(
            PlacementRequest request,
            NodeRun run,
            Collection<BackendServer> failedIsolatedWorkers,
            PlacementListener listener) {
        verifyIsolatedFailure(request.contentHash(), failedIsolatedWorkers)
                .whenComplete((done, cause) -> place(request, run, listener));
    }

    /**
     * Probes the workers on which a content failed while it ran isolated, and convicts the content if one has crashed. The
     * node of the request does so too, because its coordinator may be lost with the only knowledge of the crash.
     *
     * @return completes when the verdict is known
     */
    CompletableFuture<Void> verifyIsolatedFailure(long content, Collection<BackendServer> workers) {
        CompletableFuture<?>[] probes = workers.stream()
                .map(worker -> probeRefused(worker).thenAccept(refused -> {
                    if (refused) {
                        poison.confirmPoison(content);
                    }
                }))
                .map(CompletionStage::toCompletableFuture)
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(probes);
    }

    private void place(PlacementRequest request, NodeRun run, PlacementListener listener) {
        submit(() -> {
            Optional<Pool> pool = findPool(request.service());
            if (pool.isEmpty()) {
                listener.onRefusal(new SchedulerDecision.Refuse(
                        request.attempt(),
                        FaultKind.UNAVAILABLE,
                        RETRY_AFTER_MILLIS,
                        "the configuration in force at the coordinator has no model service " + request.service()));
                return;
            }
            pool.get().place(request, run, listener, getNowMicros());
            scheduleWakeup(request.service(), pool.get());
        });
    }

    /** Adopts an attempt that another coordinator placed. */
    void adopt(
            PlacementRequest request,
            NodeRun run,
            Grant grant,
            Optional<AttemptProgress> progress,
            PlacementListener listener) {
        runOnPool(request.service(), pool -> pool.adopt(request, run, grant, progress, listener, getNowMicros()));
    }

    /** Releases the attempts of a node run in a pool except the given ones. */
    void retain(String service, NodeRun run, Set<String> retained) {
        runOnPool(service, pool -> pool.retain(run, retained, getNowMicros()));
    }

    /** Withdraws an attempt and probes the workers that may have crashed with it. */
    void withdraw(String service, String attempt) {
        runOnPool(service, pool -> {
            for (BackendServer worker : pool.withdraw(attempt, getNowMicros())) {
                probeForCrash(pool, service, worker, false);
            }
            pool.decide(getNowMicros());
        });
    }

    /** Handles a progress report and probes the workers whose crash may explain a failed attempt. */
    void handleProgress(String service, AttemptProgress progress) {
        runOnPool(service, pool -> {
            boolean probeTwice = progress.phase() != AttemptPhase.CANCELLED;
            for (BackendServer worker : pool.handleProgress(progress, getNowMicros())) {
                probeForCrash(pool, service, worker, probeTwice);
            }
            pool.decide(getNowMicros());
        });
    }

    private long getNowMicros() {
        return (System.nanoTime() - originNanos) / 1000;
    }

    private void submit(Runnable task) {
        if (!executor.isShutdown()) {
            executor.execute(() -> runSafely(task));
        }
    }

    private void scheduleRepeating(Runnable task, long millis) {
        executor.scheduleWithFixedDelay(() -> runSafely(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "A task of the placement coordinator failed; later tasks are not affected.", e);
        }
    }

    private void runOnPool(String service, Consumer<Pool> step) {
        submit(() -> findPool(service).ifPresent(pool -> {
            step.accept(pool);
            scheduleWakeup(service, pool);
        }));
    }

    private Optional<Pool> findPool(String service) {
        Pool known = pools.get(service);
        if (known != null) {
            return Optional.of(known);
        }
        Service found = configuration.get().services().get(service);
        if (found == null || found.model().isEmpty()) {
            return Optional.empty();
        }
        BiConsumer<PoolAttempt, Collection<BackendServer>> workerProbe =
                (attempt, workers) -> probeWorkers(service, attempt, workers);
        Pool pool = new Pool(found, schedulerFactory, poison, workerProbe);
        pools.put(service, pool);
        orphanDetectors.put(service, new OrphanDetector());
        pool.update(view.get(), found, getNowMicros());
        return Optional.of(pool);
    }

    private void scheduleWakeup(String service, Pool pool) {
        ScheduledFuture<?> previous = wakeups.remove(service);
        if (previous != null) {
            previous.cancel(false);
        }
        if (pool.getNextWakeMicros().isEmpty() || executor.isShutdown()) {
            return;
        }
        long delayMicros = Math.max(0, pool.getNextWakeMicros().getAsLong() - getNowMicros());
        Runnable wakeup = () -> runOnPool(service, current -> current.decide(getNowMicros()));
        wakeups.put(service, executor.schedule(wakeup, delayMicros, TimeUnit.MICROSECONDS));
    }

    private void updatePools() {
        ClusterView current = view.get();
        Configuration latest = configuration.get();
        for (Service service : latest.services().values()) {
            if (service.model().isPresent() && isOwner(current, service.name())) {
                findPool(service.name());
            }
        }
        for (String name : Set.copyOf(pools.keySet())) {
            updatePool(name, current, Optional.ofNullable(latest.services().get(name)));
        }
    }

    private void updatePool(String name, ClusterView current, Optional<Service> service) {
        Pool pool = pools.get(name);
        boolean needed = service.isPresent() && isOwner(current, name);
        if (!needed && pool.isIdle()) {
            pools.remove(name);
            orphanDetectors.remove(name);
            Optional.ofNullable(wakeups.remove(name)).ifPresent(wakeup -> wakeup.cancel(false));
            return;
        }
        service.ifPresent(s -> pool.update(current, s, getNowMicros()));
        scheduleWakeup(name, pool);
    }

    private static boolean isOwner(ClusterView view, String service) {
        return view.getOwner(PeerPlacementService.toPoolName(service))
                .run()
                .equals(view.self().run());
    }

    private void fetchLoads() {
        pools.forEach((service, pool) -> {
            orphanDetectors.get(service).retainWorkers(getIds(pool.getServers()));
            pool.getServers().forEach(worker -> fetchLoad(service, worker));
        });
    }

    private void fetchLoad(String service, BackendServer worker) {
        if (!pendingLoads.add(worker.id())) {
            return;
        }
        engineControl.fetchLoad(worker).whenComplete((report, cause) -> {
            pendingLoads.remove(worker.id());
            if (cause == null) {
                runOnPool(service, pool -> handleReport(service, pool, worker, report));
            } else if (isRefused(cause)) {
                runOnPool(service, pool -> pool.handleConnectionRefused(worker.id(), getNowMicros()));
            }
        });
    }

    private void handleReport(String service, Pool pool, BackendServer worker, EngineLoadReport report) {
        long ageMillis = Math.max(0, System.currentTimeMillis() - report.asOfMillis());
        long windowMicros = configuration.get().limits().resumeWindowMillis() * 1000;
        long asOfMicros = getNowMicros() - ageMillis * 1000;
        pool.handleReport(worker.id(), report, ageMillis, getNowMicros());
        for (String orphan : orphanDetectors
                .get(service)
                .findOrphans(worker.id(), report, asOfMicros, pool, view.get(), windowMicros)) {
            LOG.log(Level.INFO, "Cancelling orphaned attempt {0} at worker {1}.", orphan, worker.id());
            engineControl.cancel(worker, orphan);
        }
    }

    /**
     * Probes a worker, and again later when requested, because a crashing process may hold its port open for a moment.
     */
    private void probeForCrash(Pool pool, String service, BackendServer worker, boolean probeTwice) {
        Set<Long> contents = pool.beginCrashProbe(worker.id(), getNowMicros());
        probeRefused(worker)
                .thenCompose(refused ->
                        refused || !probeTwice ? CompletableFuture.completedFuture(refused) : probeRefusedLater(worker))
                .whenComplete((refused, cause) -> runOnPool(service, current -> {
                    if (cause == null && refused) {
                        current.handleConnectionRefused(worker.id(), getNowMicros());
                    }
                    pool.endCrashProbe(contents, getNowMicros());
                }));
    }

    private CompletionStage<Boolean> probeRefusedLater(BackendServer worker) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        executor.schedule(
                () -> probeRefused(worker).whenComplete((refused, cause) -> result.complete(refused)),
                SECOND_PROBE_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
        return result;
    }

    private CompletionStage<Boolean> probeRefused(BackendServer worker) {
        return engineControl.fetchLoad(worker).handle((report, cause) -> cause != null && isRefused(cause));
    }

    private void probeWorkers(String service, PoolAttempt attempt, Collection<BackendServer> workers) {
        Set<String> refused = ConcurrentHashMap.newKeySet();
        CompletableFuture<?>[] checks = workers.stream()
                .map(worker -> probeRefused(worker)
                        .thenAccept(isRefused -> {
                            if (isRefused) {
                                refused.add(worker.id());
                            }
                        })
                        .toCompletableFuture())
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(checks)
                .whenComplete((done, cause) ->
                        runOnPool(service, pool -> pool.handleProbeResult(attempt, refused, getNowMicros())));
    }

    private static boolean isRefused(Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        return cause instanceof ConnectionRefusedException;
    }

    private static Set<String> getIds(Collection<BackendServer> servers) {
        Set<String> ids = new HashSet<>();
        servers.forEach(server -> ids.add(server.id()));
        return ids;
    }
}
