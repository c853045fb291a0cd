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
 * Coordinates the pools for which nodes ask this node. Reads the load of their workers, cancels attempts that nobody
 * drives, and tests workers on which attempts failed for a crash.
 *
 * <p>Thread-safe; one thread does all the work.
 */
public final class PlacementCoordinator implements AutoCloseable {
    private static final Logger LOG = System.getLogger(PlacementCoordinator.class.getName());
    private static final long POLL_MILLIS = 250;
    private static final long UPDATE_MILLIS = 50;
    private static final long RETEST_MILLIS = 200;
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final Supplier<ClusterView> view;
    private final Supplier<Configuration> configuration;
    private final Function<Service, PoolScheduler> factory;
    private final PoisonRegistry poison;
    private final Engines engines;
    private final ScheduledThreadPoolExecutor executor;
    private final long originNanos = System.nanoTime();
    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<String, OrphanSweep> sweeps = new HashMap<>();
    private final Map<String, ScheduledFuture<?>> wakes = new HashMap<>();
    private final Set<String> loading = ConcurrentHashMap.newKeySet();

    private PlacementCoordinator(
            Supplier<ClusterView> view,
            Supplier<Configuration> configuration,
            Function<Service, PoolScheduler> factory,
            PoisonRegistry poison,
            Engines engines) {
        this.view = view;
        this.configuration = configuration;
        this.factory = factory;
        this.poison = poison;
        this.engines = engines;
        executor = DaemonTimers.open("placement", 1);
    }

    /**
     * Starts a coordinator.
     *
     * @param view provides the nodes and workers
     * @param configuration provides the configuration in force
     * @param factory creates the scheduler of a pool
     * @param poison the poison verdicts of this node
     * @param http the HTTP client for load reports and cancellations
     * @return the coordinator
     */
    public static PlacementCoordinator start(
            Supplier<ClusterView> view,
            Supplier<Configuration> configuration,
            Function<Service, PoolScheduler> factory,
            PoisonRegistry poison,
            HttpClient http) {
        return start(view, configuration, factory, poison, new HttpEngines(http));
    }

    static PlacementCoordinator start(
            Supplier<ClusterView> view,
            Supplier<Configuration> configuration,
            Function<Service, PoolScheduler> factory,
            PoisonRegistry poison,
            Engines engines) {
        PlacementCoordinator coordinator = new PlacementCoordinator(view, configuration, factory, poison, engines);
        coordinator.repeat(coordinator::updateAll, UPDATE_MILLIS);
        coordinator.repeat(coordinator::loadAll, POLL_MILLIS);
        return coordinator;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    void place(PlacementRequest request, NodeRun run, PlacementListener listener) {
        run(() -> {
            Optional<Pool> pool = findPool(request.service());
            if (pool.isEmpty()) {
                listener.onRefusal(new SchedulerDecision.Refuse(
                        request.attempt(),
                        FaultKind.UNAVAILABLE,
                        RETRY_AFTER_MILLIS,
                        "the configuration in force at the coordinator has no model service " + request.service()));
                return;
            }
            pool.get().place(request, run, listener, now());
            wakeLater(request.service(), pool.get());
        });
    }

    void adopt(
            PlacementRequest request,
            NodeRun run,
            Grant grant,
            Optional<AttemptProgress> progress,
            PlacementListener listener) {
        with(request.service(), pool -> pool.adopt(request, run, grant, progress, listener, now()));
    }

    void retain(String service, NodeRun run, Set<String> named) {
        with(service, pool -> pool.retain(run, named, now()));
    }

    void withdraw(String service, String attempt) {
        with(service, pool -> {
            for (BackendServer worker : pool.withdraw(attempt, now())) {
                testForCrash(pool, service, worker, false);
            }
            pool.decide(now());
        });
    }

    void progress(String service, AttemptProgress progress) {
        with(service, pool -> {
            boolean again = progress.phase() != AttemptPhase.CANCELLED;
            for (BackendServer worker : pool.progress(progress, now())) {
                testForCrash(pool, service, worker, again);
            }
            pool.decide(now());
        });
    }

    private long now() {
        return (System.nanoTime() - originNanos) / 1000;
    }

    private void run(Runnable task) {
        if (!executor.isShutdown()) {
            executor.execute(() -> runSafely(task));
        }
    }

    private void repeat(Runnable task, long millis) {
        executor.scheduleWithFixedDelay(() -> runSafely(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "A step of the placement coordinator failed; the next one goes on.", e);
        }
    }

    private void with(String service, Consumer<Pool> step) {
        run(() -> findPool(service).ifPresent(pool -> {
            step.accept(pool);
            wakeLater(service, pool);
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
        BiConsumer<PoolAttempt, Collection<BackendServer>> confirmer =
                (attempt, workers) -> confirm(service, attempt, workers);
        Pool pool = new Pool(found, factory, poison, confirmer);
        pools.put(service, pool);
        sweeps.put(service, new OrphanSweep());
        pool.update(view.get(), found, now());
        return Optional.of(pool);
    }

    private void wakeLater(String service, Pool pool) {
        ScheduledFuture<?> previous = wakes.remove(service);
        if (previous != null) {
            previous.cancel(false);
        }
        if (pool.nextWakeMicros().isEmpty() || executor.isShutdown()) {
            return;
        }
        long delay = Math.max(0, pool.nextWakeMicros().getAsLong() - now());
        Runnable wake = () -> with(service, current -> current.decide(now()));
        wakes.put(service, executor.schedule(wake, delay, TimeUnit.MICROSECONDS));
    }

    private void updateAll() {
        ClusterView current = view.get();
        Configuration text = configuration.get();
        for (Service service : text.services().values()) {
            if (service.model().isPresent() && isOwner(current, service.name())) {
                findPool(service.name());
            }
        }
        for (String name : Set.copyOf(pools.keySet())) {
            update(name, current, Optional.ofNullable(text.services().get(name)));
        }
    }

    private void update(String name, ClusterView current, Optional<Service> service) {
        Pool pool = pools.get(name);
        boolean wanted = service.isPresent() && isOwner(current, name);
        if (!wanted && pool.isIdle()) {
            pools.remove(name);
            sweeps.remove(name);
            Optional.ofNullable(wakes.remove(name)).ifPresent(wake -> wake.cancel(false));
            return;
        }
        service.ifPresent(s -> pool.update(current, s, now()));
        wakeLater(name, pool);
    }

    private static boolean isOwner(ClusterView view, String service) {
        return view.getOwner(PeerPlacementService.toPoolName(service))
                .run()
                .equals(view.self().run());
    }

    private void loadAll() {
        pools.forEach((service, pool) -> {
            sweeps.get(service).retain(idsOf(pool.getServers()));
            pool.getServers().forEach(worker -> load(service, worker));
        });
    }

    private void load(String service, BackendServer worker) {
        if (!loading.add(worker.id())) {
            return;
        }
        engines.load(worker).whenComplete((report, cause) -> {
            loading.remove(worker.id());
            if (cause == null) {
                with(service, pool -> takeReport(service, pool, worker, report));
            } else if (isRefused(cause)) {
                with(service, pool -> pool.workerRefused(worker.id(), now()));
            }
        });
    }

    private void takeReport(String service, Pool pool, BackendServer worker, EngineReport report) {
        long ageMillis = Math.max(0, System.currentTimeMillis() - report.asOfMillis());
        long windowMicros = configuration.get().limits().resumeWindowMillis() * 1000;
        long asOfMicros = now() - ageMillis * 1000;
        pool.workerAnswered(worker.id(), report, ageMillis, now());
        for (String orphan :
                sweeps.get(service).sweep(worker.id(), report, asOfMicros, pool, view.get(), windowMicros)) {
            LOG.log(Level.INFO, "Attempt {0} at worker {1} is cancelled: nobody drives it.", orphan, worker.id());
            engines.cancel(worker, orphan);
        }
    }

    /** Asks once or twice, because a process that crashes may still hold its port for a moment. */
    private void testForCrash(Pool pool, String service, BackendServer worker, boolean again) {
        Set<Long> contents = pool.beginTest(worker.id(), now());
        findRefused(worker)
                .thenCompose(refused ->
                        refused || !again ? CompletableFuture.completedFuture(refused) : findRefusedLater(worker))
                .whenComplete((refused, cause) -> with(service, current -> {
                    if (cause == null && refused) {
                        current.workerRefused(worker.id(), now());
                    }
                    pool.endTest(contents, now());
                }));
    }

    private CompletionStage<Boolean> findRefusedLater(BackendServer worker) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        executor.schedule(
                () -> findRefused(worker).whenComplete((refused, cause) -> result.complete(refused)),
                RETEST_MILLIS,
                TimeUnit.MILLISECONDS);
        return result;
    }

    private CompletionStage<Boolean> findRefused(BackendServer worker) {
        return engines.load(worker).handle((report, cause) -> cause != null && isRefused(cause));
    }

    private void confirm(String service, PoolAttempt attempt, Collection<BackendServer> workers) {
        Set<String> refused = ConcurrentHashMap.newKeySet();
        CompletableFuture<?>[] checks = workers.stream()
                .map(worker -> findRefused(worker)
                        .thenAccept(gone -> {
                            if (gone) {
                                refused.add(worker.id());
                            }
                        })
                        .toCompletableFuture())
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(checks)
                .whenComplete((done, cause) -> with(service, pool -> pool.confirmed(attempt, refused, now())));
    }

    private static boolean isRefused(Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        return cause instanceof RefusedException;
    }

    private static Set<String> idsOf(Collection<BackendServer> servers) {
        Set<String> ids = new HashSet<>();
        servers.forEach(server -> ids.add(server.id()));
        return ids;
    }
}
