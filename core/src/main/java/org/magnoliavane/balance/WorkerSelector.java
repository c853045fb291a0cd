package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

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
     * Scores the workers of a plain service by the share of their slots in use and their speed.
     *
     * @param workers the candidate workers of the service
     * @param excluded the ids of workers that must not be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the plain workers among them
     */
    public ScoredWorkers scorePlain(Collection<ListedWorker> workers, Set<String> excluded, long nowMillis) {
        return score(
                workers,
                excluded,
                WorkerRole.PLAIN,
                nowMillis,
                (w, speed) -> Load.of(getPlainCost(w, speed, nowMillis)));
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
        return score(workers, excluded, WorkerRole.PREFILL, nowMillis, (w, speed) -> {
            double transferCost = w.server().zone().equals(decodeZone) ? 0 : REMOTE_TRANSFER_COST;
            return Load.of(getPrefillCost(w, speed, nowMillis) + transferCost);
        });
    }

    /**
     * Scores decode workers by their requests and their speed; those without enough free memory are excluded.
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
        return score(workers, excluded, WorkerRole.DECODE, nowMillis, (w, speed) -> {
            int requests = loadTracker.countRequests(w.id(), nowMillis);
            return new Load((requests + 0.5) / speed, findFullness(w, requests, engine, tokens, nowMillis));
        });
    }

    private Optional<Exclusion> findFullness(
            ListedWorker worker, int requests, EngineProfile engine, int tokens, long nowMillis) {
        if (loadTracker.isFull(worker.id(), nowMillis)) {
            return Optional.of(Exclusion.MARKED_FULL);
        }
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
        return score(workers, excluded, WorkerRole.DECODE, nowMillis, (w, speed) -> {
            double load = loadTracker.countTokens(w.id(), nowMillis) / TOKENS_PER_REQUEST + 0.5;
            boolean full = loadTracker.isFull(w.id(), nowMillis);
            return new Load(load, full ? Optional.of(Exclusion.MARKED_FULL) : Optional.empty());
        });
    }

    private ScoredWorkers score(
            Collection<ListedWorker> workers, Set<String> excluded, WorkerRole role, long nowMillis, Loads loads) {
        List<Scored> scored = new ArrayList<>(workers.size());
        boolean anyHealthy = false;
        for (ListedWorker worker : workers) {
            if (worker.server().role() == role) {
                Optional<Exclusion> exclusion = findExclusion(worker, excluded, nowMillis);
                anyHealthy |= exclusion.isEmpty();
                scored.add(new Scored(worker, exclusion, Double.NaN, Double.NaN));
            }
        }
        // Requests wait for a full but healthy worker. Unhealthy workers are used only if no worker is healthy.
        boolean useUnhealthy = !anyHealthy;
        scored.replaceAll(s -> {
            boolean unhealthy = s.exclusion().isPresent() && s.exclusion().get() == Exclusion.UNHEALTHY;
            return s.exclusion().isEmpty() || useUnhealthy && unhealthy ? scoreUsable(s.worker(), nowMillis, loads) : s;
        });
        return new ScoredWorkers(List.copyOf(scored), hasOldReports(nowMillis), MAX_RANDOM_COST);
    }

    private Scored scoreUsable(ListedWorker worker, long nowMillis, Loads loads) {
        double speed = getSpeed(worker, nowMillis);
        Load load = loads.getLoad(worker, speed);
        return new Scored(worker, load.exclusion, computeCost(worker, load.value, nowMillis), speed);
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
        List<Scored> candidates = new ArrayList<>(scored.workers().size());
        for (Scored worker : scored.workers()) {
            if (worker.exclusion().isEmpty()) {
                candidates.add(worker.withAddedCost(scored.maxRandomCost() * random.getAsDouble()));
            }
        }
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

    private double getPrefillCost(ListedWorker worker, double speed, long nowMillis) {
        double activeMillis = ACTIVE_TIME_FACTOR
                * loadTracker
                        .getSpeeds()
                        .getPrefillMillis(worker.server().service(), worker.id(), (int) TOKENS_PER_REQUEST, nowMillis);
        double queued = loadTracker.estimateTokens(worker.id(), activeMillis, nowMillis) / TOKENS_PER_REQUEST;
        return (queued + 0.5) / speed;
    }

    private double getPlainCost(ListedWorker worker, double speed, long nowMillis) {
        double activeMillis = ACTIVE_TIME_FACTOR
                * loadTracker.getSpeeds().getPlainMillis(worker.server().service(), worker.id(), nowMillis);
        double requests = loadTracker.estimateRequests(worker.id(), activeMillis, nowMillis);
        return (requests / Math.max(1, worker.slots()) + 0.5) / speed;
    }

    /** Computes the load of a usable worker from its speed. */
    @FunctionalInterface
    private interface Loads {
        Load getLoad(ListedWorker worker, double speed);
    }

    /** The load of a worker, and the reason why it has no capacity for the request. */
    private record Load(double value, Optional<Exclusion> exclusion) {
        static Load of(double value) {
            return new Load(value, Optional.empty());
        }
    }
}
