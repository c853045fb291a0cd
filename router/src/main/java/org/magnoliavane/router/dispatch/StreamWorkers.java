package org.magnoliavane.router.dispatch;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.Exclusion;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ScoredWorkers;
import org.magnoliavane.routing.EngineProfile;

/**
 * Chooses the workers of one streamed request.
 *
 * <p>Thread-safe.
 */
final class StreamWorkers {
    /** Share of its memory below which a decode worker cannot be full, even if the estimates are inaccurate. */
    private static final double AMPLE_MEMORY_SHARE = 0.7;

    private final DispatchContext context;
    private final CallerRequest request;
    private final String service;
    private final GenerationSize generationSize;
    private final Set<String> excludedWorkers;
    private final BooleanSupplier sent;

    /** The engine of the service when the request arrived; a later configuration may no longer contain the service. */
    private final Optional<EngineProfile> engineAtArrival;

    /**
     * Creates the choice for a request.
     *
     * @param context the dependencies
     * @param request the request
     * @param service the name of the service
     * @param generationSize the size of the request
     * @param excludedWorkers the ids of workers that must not be chosen; read at each choice
     * @param sent whether the request has been sent to a decode worker
     */
    StreamWorkers(
            DispatchContext context,
            CallerRequest request,
            String service,
            GenerationSize generationSize,
            Set<String> excludedWorkers,
            BooleanSupplier sent) {
        this.context = context;
        this.request = request;
        this.service = service;
        this.generationSize = generationSize;
        this.excludedWorkers = excludedWorkers;
        this.sent = sent;
        this.engineAtArrival = findCurrentEngine();
    }

    Optional<EngineProfile> findEngine() {
        return findCurrentEngine().or(() -> engineAtArrival);
    }

    private Optional<EngineProfile> findCurrentEngine() {
        return context.routingState()
                .getRoutingTable()
                .flatMap(r -> r.findService(service))
                .flatMap(s -> s.engine());
    }

    /** Returns whether a worker remains that may be asked now or later. */
    boolean hasUsable() {
        return getPermitted().stream().anyMatch(this::isUsable);
    }

    /** Gets the workers that may be asked now or later, whether or not they can end the stream before its deadline. */
    List<ListedWorker> getUsable() {
        return getAll().stream().filter(this::isUsable).toList();
    }

    private boolean isUsable(ListedWorker worker) {
        return worker.server().role() != WorkerRole.PREFILL
                && !worker.server().leaving()
                && !context.loadTracker().getNotices().isLeaving(worker, now())
                && !excludedWorkers.contains(worker.id());
    }

    /** Returns whether a worker has not announced that it wants no requests. */
    boolean isWilling(ListedWorker worker) {
        return context.loadTracker().getNotices().isUsable(worker, now());
    }

    /**
     * Returns whether a worker may still be used when its owner grants capacity after a wait. A worker that has crashed has no
     * reservations left, so that its owner grants all requests that wait for it at once.
     */
    boolean mayUseGrant(ListedWorker worker) {
        boolean sound = isSound(worker);
        return sound || getPermitted().stream().noneMatch(w -> isUsable(w) && isSound(w));
    }

    private boolean isSound(ListedWorker worker) {
        return context.routingState().isUsable(worker)
                && isWilling(worker)
                && !context.loadTracker().isUnhealthy(worker.id(), now())
                && !context.loadTracker().isFull(worker.id(), now());
    }

    /** Returns whether a worker can end the stream before its deadline. */
    boolean isFastEnough(ListedWorker worker) {
        return context.admissionControl()
                .isFastEnough(worker, generationSize.expectedOutputTokens(), request.deadlineMillis() - now());
    }

    boolean hasAmpleMemory(ListedWorker worker) {
        int tokens = context.loadTracker().countTokens(worker.id(), now());
        return findEngine()
                .map(e -> tokens < AMPLE_MEMORY_SHARE * e.kvCapacityTokens())
                .orElse(true);
    }

    /** Gets the workers at which the stream can end before its deadline; all once it has been sent to one. */
    private Collection<ListedWorker> getPermitted() {
        return sent.getAsBoolean()
                ? getAll()
                : getAll().stream()
                        .filter(w -> w.server().role() == WorkerRole.PREFILL || isFastEnough(w))
                        .toList();
    }

    private Collection<ListedWorker> getAll() {
        return context.routingState().getWorkers(service);
    }

    /** Chooses a decode worker that is believed to have free capacity. */
    Optional<ListedWorker> chooseDecode() {
        return chooseDecode(excludedWorkers);
    }

    private Optional<ListedWorker> chooseDecode(Set<String> excluded) {
        return context.workerSelector().choose(scoreDecode(excluded));
    }

    private ScoredWorkers scoreDecode(Set<String> excluded) {
        Optional<EngineProfile> engine = findEngine();
        return engine.isPresent()
                ? context.workerSelector()
                        .scoreDecode(
                                getPermitted(), engine.get(), generationSize.estimateMemoryTokens(), excluded, now())
                : context.workerSelector().scorePlain(getPermitted(), excluded, now());
    }

    /** Scores the workers for decode, including those that are too slow for the deadline. */
    ScoredWorkers scoreDecode() {
        Set<ListedWorker> permitted = Set.copyOf(getPermitted());
        WorkerRole role = findEngine().isPresent() ? WorkerRole.DECODE : WorkerRole.PLAIN;
        return scoreDecode(excludedWorkers)
                .withExcluded(
                        getAll().stream()
                                .filter(w -> w.server().role() == role && !permitted.contains(w))
                                .toList(),
                        Exclusion.TOO_SLOW);
    }

    /** Chooses a decode worker to ask for capacity: one with free capacity, or the better one of two at random. */
    Optional<CapacityRequest.Candidate> chooseCandidate(Set<String> asked) {
        Set<String> excluded = new HashSet<>(excludedWorkers);
        excluded.addAll(asked);
        Optional<CapacityRequest.Candidate> free =
                chooseDecode(excluded).map(w -> new CapacityRequest.Candidate(w, true));
        if (free.isPresent() || findEngine().isEmpty()) {
            return free;
        }
        List<ListedWorker> workers = getWorkersToWaitFor(excluded);
        return chooseOfTwo(workers, excluded)
                .or(() -> context.workerSelector().chooseDecodeToWaitFor(workers, excluded, now()))
                .map(w -> new CapacityRequest.Candidate(w, false));
    }

    /** Gets the decode workers among which a request that fits into none chooses. */
    private List<ListedWorker> getWorkersToWaitFor(Set<String> excluded) {
        List<ListedWorker> decoding = getPermitted().stream()
                .filter(w -> w.server().role() == WorkerRole.DECODE && !excluded.contains(w.id()))
                .toList();
        List<ListedWorker> sound = decoding.stream().filter(this::isSound).toList();
        return sound.isEmpty() ? decoding : sound;
    }

    /** Scores the decode workers for which a request may wait that fits into none. */
    ScoredWorkers scoreToWaitFor() {
        return context.workerSelector()
                .scoreDecodeToWaitFor(getWorkersToWaitFor(excludedWorkers), excludedWorkers, now());
    }

    /** Chooses at random, because all nodes know about the same loads and would wait for the same worker. */
    private Optional<ListedWorker> chooseOfTwo(List<ListedWorker> workers, Set<String> excluded) {
        if (workers.isEmpty()) {
            return Optional.empty();
        }
        List<ListedWorker> two = Stream.generate(() ->
                        workers.get((int) (workers.size() * context.random().getAsDouble())))
                .limit(2)
                .distinct()
                .toList();
        return context.workerSelector().chooseDecodeToWaitFor(two, excluded, now());
    }

    /** Chooses a prefill worker that has not been asked, from whose zone the KV cache is sent to a decode worker. */
    Optional<ListedWorker> choosePrefill(ListedWorker decodeWorker, Set<String> asked) {
        Set<String> excluded = new HashSet<>(excludedWorkers);
        excluded.addAll(asked);
        return context.workerSelector()
                .choosePrefill(getPermitted(), excluded, decodeWorker.server().zone(), now());
    }

    /** Scores the prefill workers for a decode worker in a zone. */
    ScoredWorkers scorePrefill(String decodeZone) {
        return context.workerSelector().scorePrefill(getPermitted(), excludedWorkers, decodeZone, now());
    }

    private long now() {
        return context.clockMillis().getAsLong();
    }
}
