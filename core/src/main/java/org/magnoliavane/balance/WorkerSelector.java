package org.magnoliavane.balance;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.routing.EngineProfile;

/**
 * Selects the workers with the lowest expected delay.
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
     * @param loadTracker the load and health of the workers
     * @param zone the availability zone of this node
     * @param random supplies random numbers between 0 and 1
     */
    public WorkerSelector(WorkerLoadTracker loadTracker, String zone, DoubleSupplier random) {
        this.loadTracker = loadTracker;
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses the worker of a plain service with the smallest share of its slots in use.
     *
     * @param workers the candidate workers of the service
     * @param excluded the ids of workers that must not be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the worker; empty if no worker is eligible
     */
    public Optional<ListedWorker> choosePlain(Collection<ListedWorker> workers, Set<String> excluded, long nowMillis) {
        return choose(workers, excluded, WorkerRole.PLAIN, nowMillis, w -> getUtilization(w, nowMillis));
    }

    /**
     * Chooses the prefill worker with the fewest queued tokens, and prefers the zone of the decode worker.
     *
     * @param workers the candidate workers of the service
     * @param excluded the ids of workers that must not be chosen
     * @param decodeZone the availability zone of the decode worker, to which the KV cache will be transferred
     * @param nowMillis the current time, in milliseconds
     * @return the worker; empty if no worker is eligible
     */
    public Optional<ListedWorker> choosePrefill(
            Collection<ListedWorker> workers, Set<String> excluded, String decodeZone, long nowMillis) {
        return choose(workers, excluded, WorkerRole.PREFILL, nowMillis, w -> {
            double transferCost = w.server().zone().equals(decodeZone) ? 0 : REMOTE_TRANSFER_COST;
            return loadTracker.countTokens(w.id(), nowMillis) / TOKENS_PER_REQUEST + transferCost;
        });
    }

    /**
     * Chooses the decode worker with the fewest requests among those with enough free memory.
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
        return choose(workers, excluded, WorkerRole.DECODE, nowMillis, w -> {
            int requests = loadTracker.countRequests(w.id(), nowMillis);
            double totalTokens = loadTracker.countTokens(w.id(), nowMillis) + tokens;
            boolean fits = requests == 0 || requests < engine.slots() && totalTokens <= engine.getUsableTokens();
            boolean hasCapacity = fits && !loadTracker.isFull(w.id(), nowMillis);
            return hasCapacity ? requests : Double.POSITIVE_INFINITY;
        });
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
    public Optional<ListedWorker> chooseDecodeToClaim(
            Collection<ListedWorker> workers, Set<String> excluded, long nowMillis) {
        return choose(
                workers,
                excluded,
                WorkerRole.DECODE,
                nowMillis,
                w -> loadTracker.isFull(w.id(), nowMillis)
                        ? Double.POSITIVE_INFINITY
                        : loadTracker.countTokens(w.id(), nowMillis) / TOKENS_PER_REQUEST);
    }

    private Optional<ListedWorker> choose(
            Collection<ListedWorker> workers,
            Set<String> excluded,
            WorkerRole role,
            long nowMillis,
            ToDoubleFunction<ListedWorker> load) {
        record Scored(ListedWorker worker, double cost) {}
        List<ListedWorker> usable = workers.stream()
                .filter(w -> w.server().role() == role && !w.server().leaving() && !excluded.contains(w.id()))
                .filter(w -> loadTracker.getNotices().isUsable(w, nowMillis))
                .toList();
        List<ListedWorker> healthy = usable.stream()
                .filter(w -> !loadTracker.isUnhealthy(w.id(), nowMillis))
                .toList();
        // Requests wait for a full but healthy worker. Unhealthy workers are used only if no worker is healthy.
        return (healthy.isEmpty() ? usable : healthy)
                .stream()
                        .map(w -> new Scored(w, computeCost(w, load.applyAsDouble(w), nowMillis)))
                        .filter(s -> s.cost < Double.POSITIVE_INFINITY)
                        .min(Comparator.comparingDouble(Scored::cost))
                        .map(Scored::worker);
    }

    private double computeCost(ListedWorker worker, double load, long nowMillis) {
        double failureRate = loadTracker.getFailureRate(worker.id(), nowMillis);
        double cost = (load + 0.5) * (1 + FAILURE_PENALTY * failureRate);
        cost += worker.server().zone().equals(zone) ? 0 : REMOTE_ZONE_COST;
        return cost + MAX_RANDOM_COST * random.getAsDouble();
    }

    private double getUtilization(ListedWorker worker, long nowMillis) {
        return (double) loadTracker.countRequests(worker.id(), nowMillis) / Math.max(1, worker.slots());
    }
}
