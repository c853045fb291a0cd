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
 * Chooses workers by their expected delay.
 *
 * <p>Thread-safe.
 */
public final class WorkerSelector {
    /** How much an unreliable worker is made to look slower; at a failure rate of 1 it looks nine times as slow. */
    private static final double FAILURE_PENALTY = 8;

    /** Cost of a worker in another availability zone, in units of one request in work on one slot. */
    private static final double REMOTE_ZONE_COST = 0.02;

    /** Cost of a KV cache that crosses zones, which takes twice as long, in units of one prompt in work. */
    private static final double REMOTE_TRANSFER_COST = 0.15;

    /** A prompt of this size is one request in work. */
    private static final double TYPICAL_PROMPT_TOKENS = 5000;

    /** Spreads nodes with the same view over equal workers, in units of one request in work on one slot. */
    private static final double SPREAD = 0.05;

    private final WorkerLoadTracker ledger;
    private final String zone;
    private final DoubleSupplier random;

    /**
     * Creates a placement.
     *
     * @param ledger what is known of the workers
     * @param zone the availability zone of this node
     * @param random gives numbers from 0 to 1
     */
    public WorkerSelector(WorkerLoadTracker ledger, String zone, DoubleSupplier random) {
        this.ledger = ledger;
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses a worker of a plain service: the one with the smallest share of its slots in use.
     *
     * @param workers the workers of the service
     * @param excluded ids of workers that must not be chosen
     * @param nowMillis the current time
     * @return the worker; empty when there is none
     */
    public Optional<ListedWorker> choosePlain(Collection<ListedWorker> workers, Set<String> excluded, long nowMillis) {
        return choose(workers, excluded, WorkerRole.PLAIN, nowMillis, w -> usedShare(w, nowMillis));
    }

    /**
     * Chooses the prefill worker with the fewest tokens waiting, with some preference for the zone of the decode worker.
     *
     * @param workers the workers of the service
     * @param excluded ids of workers that must not be chosen
     * @param decodeZone the availability zone to which the KV cache will go
     * @param nowMillis the current time
     * @return the worker; empty when there is none
     */
    public Optional<ListedWorker> choosePrefill(
            Collection<ListedWorker> workers, Set<String> excluded, String decodeZone, long nowMillis) {
        return choose(workers, excluded, WorkerRole.PREFILL, nowMillis, w -> {
            double transfer = w.server().zone().equals(decodeZone) ? 0 : REMOTE_TRANSFER_COST;
            return ledger.countTokens(w.id(), nowMillis) / TYPICAL_PROMPT_TOKENS + transfer;
        });
    }

    /**
     * Chooses the decode worker with the fewest requests, among those with room in memory.
     *
     * @param workers the workers of the service
     * @param engine the engines of the service
     * @param tokens the tokens that the request will occupy
     * @param excluded ids of workers that must not be chosen
     * @param nowMillis the current time
     * @return the worker; empty when none has room
     */
    public Optional<ListedWorker> chooseDecode(
            Collection<ListedWorker> workers, EngineProfile engine, int tokens, Set<String> excluded, long nowMillis) {
        return choose(workers, excluded, WorkerRole.DECODE, nowMillis, w -> {
            int requests = ledger.countRequests(w.id(), nowMillis);
            double filled = ledger.countTokens(w.id(), nowMillis) + tokens;
            boolean fits = requests == 0 || requests < engine.slots() && filled <= engine.getUsableTokens();
            boolean room = fits && !ledger.isFull(w.id(), nowMillis);
            return room ? requests : Double.POSITIVE_INFINITY;
        });
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
                .toList();
        List<ListedWorker> healthy = usable.stream()
                .filter(w -> !ledger.isUnhealthy(w.id(), nowMillis))
                .toList();
        // A healthy worker that is full is worth waiting for; an avoided one is tried only when all are.
        return (healthy.isEmpty() ? usable : healthy)
                .stream()
                        .map(w -> new Scored(w, cost(w, load.applyAsDouble(w), nowMillis)))
                        .filter(s -> s.cost < Double.POSITIVE_INFINITY)
                        .min(Comparator.comparingDouble(Scored::cost))
                        .map(Scored::worker);
    }

    private double cost(ListedWorker worker, double load, long nowMillis) {
        double failures = ledger.getFailureRate(worker.id(), nowMillis);
        double cost = (load + 0.5) * (1 + FAILURE_PENALTY * failures);
        cost += worker.server().zone().equals(zone) ? 0 : REMOTE_ZONE_COST;
        return cost + SPREAD * random.getAsDouble();
    }

    private double usedShare(ListedWorker worker, long nowMillis) {
        return (double) ledger.countRequests(worker.id(), nowMillis) / Math.max(1, worker.slots());
    }
}
