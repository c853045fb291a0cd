package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ScoredWorkers.Scored;
import org.magnoliavane.routing.EngineProfile;

/**
 * Selects workers by expected delay, which follows from their known load and their measured speed. A node of a small fleet
 * takes the worker with the lowest one. In a large fleet, the reports of other nodes are old and all nodes would take the same
 * worker until their next reports, so each of them takes the better of two workers that are drawn at random, in proportion
 * to their speeds.
 *
 * <p>Thread-safe.
 */
public final class WorkerSelector {
    /** Weight of the failure rate: a worker with a failure rate of 1 costs nine times as much as one without failures. */
    private static final double FAILURE_PENALTY = 8;

    /** Cost of a worker in another availability zone, in units of one active request on one slot. */
    private static final double REMOTE_ZONE_COST = 0.02;

    /** Cost of a KV cache transfer between zones, which takes twice as long, in units of one active prompt. */
    private static final double REMOTE_TRANSFER_COST = 0.15;

    /** Number of workers that are drawn in a large fleet. */
    private static final int DRAWN_WORKERS = 2;

    /**
     * Number of other nodes above which a fleet counts as large. Smaller fleets also report each change of their load within
     * an eighth of a second.
     */
    private static final int MAX_FREQUENTLY_REPORTING_NODES = 24;

    /**
     * Multiple of the expected time of a request for which it is taken to be active at its worker, including the time that it
     * waits there.
     */
    private static final double ACTIVE_TIME_FACTOR = 1.5;

    /** Number of prompt tokens that count as one active request. */
    private static final double TOKENS_PER_REQUEST = 5000;

    /**
     * Largest random cost, in units of one active request on one slot. It spreads the requests of nodes with the same view
     * over equally loaded workers.
     */
    private static final double MAX_RANDOM_COST = 0.05;

    private static final Function<ListedWorker, Optional<Exclusion>> NO_LIMIT = worker -> Optional.empty();

    private final WorkerLoadTracker loadTracker;
    private final String zone;
    private final DoubleSupplier random;

    /**
     * Creates a selector.
     *
     * @param loadTracker the load, health and speed of the workers
     * @param zone the availability zone of this node
     * @param random supplies random numbers between 0 and 1
     */
    public WorkerSelector(WorkerLoadTracker loadTracker, String zone, DoubleSupplier random) {
        this.loadTracker = loadTracker;
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses a worker of a plain service by the share of its slots in use and its speed.
     *
     * @param workers the candidate workers of the service
     * @param excluded the ids of workers that must not be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the worker; empty if no worker is eligible
     */
    public Optional<ListedWorker> choosePlain(Collection<ListedWorker> workers, Set<String> excluded, long nowMillis) {
        return choose(scorePlain(workers, excluded, nowMillis));
    }

    /**
     * Scores the workers of a plain service as {@link #choosePlain} does.
     *
     * @param workers the candidate workers of the service
     * @param excluded the ids of workers that must not be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the plain workers among them
     */
    public ScoredWorkers scorePlain(Collection<ListedWorker> workers, Set<String> excluded, long nowMillis) {
        return score(workers, excluded, WorkerRole.PLAIN, nowMillis, NO_LIMIT, w -> getPlainCost(w, nowMillis));
    }

    /**
     * Chooses a prefill worker by its queued tokens and its speed, and prefers the zone of the decode worker.
     *
     * @param workers the candidate workers of the service
     * @param excluded the ids of workers that must not be chosen
     * @param decodeZone the availability zone of the decode worker, to which the KV cache will be transferred
     * @param nowMillis the current time, in milliseconds
     * @return the worker; empty if no worker is eligible
     */
    public Optional<ListedWorker> choosePrefill(
            Collection<ListedWorker> workers, Set<String> excluded, String decodeZone, long nowMillis) {
        return choose(scorePrefill(workers, excluded, decodeZone, nowMillis));
    }

    /**
     * Scores prefill workers as {@link #choosePrefill} does.
     *
     * @param workers the candidate workers of the service
     * @param excluded the ids of workers that must not be chosen
     * @param decodeZone the availability zone of the decode worker, to which the KV cache will be transferred
     * @param nowMillis the current time, in milliseconds
     * @return the prefill workers among them
     */
    public ScoredWorkers scorePrefill(
            Collection<ListedWorker> workers, Set<String> excluded, String decodeZone, long nowMillis) {
        return score(workers, excluded, WorkerRole.PREFILL, nowMillis, NO_LIMIT, w -> {
            double transferCost = w.server().zone().equals(decodeZone) ? 0 : REMOTE_TRANSFER_COST;
            return getPrefillCost(w, nowMillis) + transferCost;
        });
    }

    /**
     * Chooses a decode worker by its requests and its speed among those with enough free memory.
     *
     * @param workers the candidate workers of the service
     * @param engine the profile of the engines of the service
     * @param tokens the KV cache memory that the request will occupy, in tokens
     * @param excluded the ids of workers that must not be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the worker; empty if none has free capacity
     */
    public Optional<ListedWorker> chooseDecode(
            Collection<ListedWorker> workers, EngineProfile engine, int tokens, Set<String> excluded, long nowMillis) {
        return choose(scoreDecode(workers, engine, tokens, excluded, nowMillis));
    }

    /**
     * Scores decode workers as {@link #chooseDecode} does.
     *
     * @param workers the candidate workers of the service
     * @param engine the profile of the engines of the service
     * @param tokens the KV cache memory that the request will occupy, in tokens
     * @param excluded the ids of workers that must not be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the decode workers among them
     */
    public ScoredWorkers scoreDecode(
            Collection<ListedWorker> workers, EngineProfile engine, int tokens, Set<String> excluded, long nowMillis) {
        return score(
                workers,
                excluded,
                WorkerRole.DECODE,
                nowMillis,
                w -> findFullness(w, engine, tokens, nowMillis),
                w -> (loadTracker.countRequests(w.id(), nowMillis) + 0.5) / getSpeed(w, nowMillis));
    }

    private Optional<Exclusion> findFullness(ListedWorker worker, EngineProfile engine, int tokens, long nowMillis) {
        if (loadTracker.isFull(worker.id(), nowMillis)) {
            return Optional.of(Exclusion.MARKED_FULL);
        }
        int requests = loadTracker.countRequests(worker.id(), nowMillis);
        if (requests == 0) {
            return Optional.empty();
        }
        if (requests >= engine.slots()) {
            return Optional.of(Exclusion.NO_FREE_SLOT);
        }
        double totalTokens = loadTracker.countTokens(worker.id(), nowMillis) + tokens;
        return totalTokens <= engine.getUsableTokens() ? Optional.empty() : Optional.of(Exclusion.NO_FREE_MEMORY);
    }

    /**
     * Chooses the decode worker with the fewest tokens in use, for a request that fits into none. A worker that is marked
     * as full is not chosen.
     *
     * @param workers the candidate workers of the service
     * @param excluded the ids of workers that must not be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the worker; empty if no worker is eligible
     */
    public Optional<ListedWorker> chooseDecodeToWaitFor(
            Collection<ListedWorker> workers, Set<String> excluded, long nowMillis) {
        return choose(scoreDecodeToWaitFor(workers, excluded, nowMillis));
    }

    /**
     * Scores decode workers as {@link #chooseDecodeToWaitFor} does.
     *
     * @param workers the candidate workers of the service
     * @param excluded the ids of workers that must not be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the decode workers among them
     */
    public ScoredWorkers scoreDecodeToWaitFor(Collection<ListedWorker> workers, Set<String> excluded, long nowMillis) {
        return score(
                workers,
                excluded,
                WorkerRole.DECODE,
                nowMillis,
                w -> loadTracker.isFull(w.id(), nowMillis) ? Optional.of(Exclusion.MARKED_FULL) : Optional.empty(),
                w -> loadTracker.countTokens(w.id(), nowMillis) / TOKENS_PER_REQUEST + 0.5);
    }

    /**
     * Scores the workers of one role.
     *
     * @param capacity finds the reason why a usable worker has no capacity for the request
     * @param load computes the load of a usable worker
     */
    private ScoredWorkers score(
            Collection<ListedWorker> workers,
            Set<String> excluded,
            WorkerRole role,
            long nowMillis,
            Function<ListedWorker, Optional<Exclusion>> capacity,
            ToDoubleFunction<ListedWorker> load) {
        List<Scored> scored = workers.stream()
                .filter(w -> w.server().role() == role)
                .map(w -> new Scored(w, findExclusion(w, excluded, nowMillis), Double.NaN, Double.NaN))
                .toList();
        // Requests wait for a full but healthy worker. Unhealthy workers are used only if no worker is healthy.
        boolean anyHealthy = scored.stream().anyMatch(s -> s.exclusion().isEmpty());
        List<Scored> all = scored.stream()
                .map(s -> {
                    boolean usable = s.exclusion().isEmpty()
                            || !anyHealthy && s.exclusion().get() == Exclusion.UNHEALTHY;
                    ListedWorker w = s.worker();
                    return usable
                            ? new Scored(
                                    w,
                                    capacity.apply(w),
                                    computeCost(w, load.applyAsDouble(w), nowMillis),
                                    getSpeed(w, nowMillis))
                            : s;
                })
                .toList();
        return new ScoredWorkers(all, hasOldReports(nowMillis), MAX_RANDOM_COST);
    }

    private Optional<Exclusion> findExclusion(ListedWorker worker, Set<String> excluded, long nowMillis) {
        if (worker.server().leaving()) {
            return Optional.of(Exclusion.DRAINING);
        }
        if (loadTracker.getNotices().isLeaving(worker, nowMillis)) {
            return Optional.of(Exclusion.LEAVING);
        }
        if (loadTracker.getNotices().isClosed(worker, nowMillis)) {
            return Optional.of(Exclusion.CLOSED);
        }
        if (excluded.contains(worker.id())) {
            return Optional.of(Exclusion.ALREADY_TRIED);
        }
        return loadTracker.isUnhealthy(worker.id(), nowMillis) ? Optional.of(Exclusion.UNHEALTHY) : Optional.empty();
    }

    /**
     * Chooses a worker.
     *
     * @param scored the workers with their costs
     * @return the worker; empty if none may be chosen
     */
    public Optional<ListedWorker> choose(ScoredWorkers scored) {
        List<Scored> candidates = scored.getCandidates().stream()
                .map(s -> s.withAddedCost(scored.maxRandomCost() * random.getAsDouble()))
                .toList();
        return (scored.drawn() ? draw(candidates) : candidates)
                .stream().min(Comparator.comparingDouble(Scored::cost)).map(Scored::worker);
    }

    /**
     * Returns whether the fleet is so large that the reports of other nodes are too old to tell which worker is free.
     *
     * @param nowMillis the current time, in milliseconds
     * @return true in a large fleet
     */
    public boolean hasOldReports(long nowMillis) {
        return loadTracker.countReportingNodes(nowMillis) > MAX_FREQUENTLY_REPORTING_NODES;
    }

    /** Draws some workers in proportion to their speeds, none of them twice. */
    private List<Scored> draw(List<Scored> candidates) {
        List<Scored> remaining = new ArrayList<>(candidates);
        List<Scored> drawn = new ArrayList<>();
        while (drawn.size() < DRAWN_WORKERS && !remaining.isEmpty()) {
            double position = random.getAsDouble()
                    * remaining.stream().mapToDouble(Scored::speed).sum();
            int index = 0;
            while (index < remaining.size() - 1
                    && position >= remaining.get(index).speed()) {
                position -= remaining.get(index).speed();
                index++;
            }
            drawn.add(remaining.remove(index));
        }
        return drawn;
    }

    private double computeCost(ListedWorker worker, double load, long nowMillis) {
        double failureRate = loadTracker.getFailureRate(worker.id(), nowMillis);
        double cost = load * (1 + FAILURE_PENALTY * failureRate);
        return cost + (worker.server().zone().equals(zone) ? 0 : REMOTE_ZONE_COST);
    }

    private double getSpeed(ListedWorker worker, long nowMillis) {
        return loadTracker.getSpeeds().getSpeed(worker.id(), nowMillis);
    }

    private double getPrefillCost(ListedWorker worker, long nowMillis) {
        double activeMillis = ACTIVE_TIME_FACTOR
                * loadTracker
                        .getSpeeds()
                        .getPrefillMillis(worker.server().service(), worker.id(), (int) TOKENS_PER_REQUEST, nowMillis);
        double queued = loadTracker.estimateTokens(worker.id(), activeMillis, nowMillis) / TOKENS_PER_REQUEST;
        return (queued + 0.5) / getSpeed(worker, nowMillis);
    }

    private double getPlainCost(ListedWorker worker, long nowMillis) {
        double activeMillis = ACTIVE_TIME_FACTOR
                * loadTracker.getSpeeds().getPlainMillis(worker.server().service(), worker.id(), nowMillis);
        double requests = loadTracker.estimateRequests(worker.id(), activeMillis, nowMillis);
        return (requests / Math.max(1, worker.slots()) + 0.5) / getSpeed(worker, nowMillis);
    }
}
