package org.magnoliavane.router.roles;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.RoleBalancer;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.router.RoutingState;
import org.magnoliavane.routing.EngineProfile;
import org.magnoliavane.routing.ServiceProfile;

/**
 * Changes the roles of model workers as the load changes. Only the elected node does this; serving requests does not
 * depend on it. It has no lock, because it is called by the components that it calls.
 *
 * <p>Thread-safe, except for {@link #evaluateServices}.
 */
public final class RoleController {
    /**
     * Minimum interval between two changes. A worker changes its role within about six seconds, and then the load must
     * settle.
     */
    private static final long SETTLE_MILLIS = 10_000;

    /**
     * Time for which this node must have been elected without a break before it prepares the order lease. A starting node
     * elects itself until the others have read its listing (1 s) and reported to it (1.25 s at 66 nodes); without the wait,
     * each node of a starting deployment made a priced call to the store. A node that takes over later knows the end of the log
     * from reports and needs no preparation.
     */
    private static final long PREPARATION_DELAY_MILLIS = 2500;

    /** Time allowed for acquiring the order lease and sending the orders. */
    private static final long ORDER_TIMEOUT_MILLIS = 2000;

    /**
     * Maximum time for which a worker that changes its role gets no requests. Usually a listing with the new role ends
     * this after some seconds, but during an outage of the store the listing shows the old role.
     */
    private static final long MAX_CHANGE_MILLIS = 30_000;

    /** Maximum time for a worker that did not answer and may not have accepted its order. */
    private static final long MAX_UNCONFIRMED_CHANGE_MILLIS = 12_000;

    private final BooleanSupplier isElected;
    private final RoutingState routingState;
    private final WorkerLoadTracker loadTracker;
    private final RoleOrderSender orderSender;
    private final LongSupplier millis;
    private final Map<String, RoleBalancer> balancers = new HashMap<>();
    private final Map<String, Long> pendingChanges = new ConcurrentHashMap<>();
    private boolean leasePrepared;
    private boolean elected;
    private long electedMillis;
    private volatile long nextChangeMillis = Long.MIN_VALUE;

    /**
     * Creates a controller.
     *
     * @param isElected returns whether this node is the one that changes roles
     * @param routingState the configuration and the workers
     * @param loadTracker the load and health of the workers
     * @param orderSender sends the orders
     * @param millis a monotonic clock in milliseconds
     */
    public RoleController(
            BooleanSupplier isElected,
            RoutingState routingState,
            WorkerLoadTracker loadTracker,
            RoleOrderSender orderSender,
            LongSupplier millis) {
        this.isElected = isElected;
        this.routingState = routingState;
        this.loadTracker = loadTracker;
        this.orderSender = orderSender;
        this.millis = millis;
    }

    /**
     * Samples the load of each service and orders a change of roles where needed. Must be called several times a
     * second, by one thread at a time.
     */
    public void evaluateServices() {
        if (!isElected.getAsBoolean()) {
            balancers.clear();
            leasePrepared = false;
            elected = false;
            return;
        }
        long now = millis.getAsLong();
        if (!elected) {
            elected = true;
            electedMillis = now;
        }
        if (!leasePrepared && now - electedMillis >= PREPARATION_DELAY_MILLIS) {
            leasePrepared = true;
            orderSender.prepareLease();
        }
        for (ServiceProfile service :
                routingState.getRoutingTable().map(r -> r.getServices()).orElse(List.of())) {
            service.engine().ifPresent(engine -> evaluate(service.name(), engine, now));
        }
    }

    /**
     * Gets the workers that are changing their role by an order of this node.
     *
     * @return the remaining time in milliseconds during which a worker should get no requests, by the id of the worker
     */
    public Map<String, Long> getPendingChanges() {
        long now = millis.getAsLong();
        pendingChanges.values().removeIf(until -> until <= now);
        Map<String, Long> remaining = new HashMap<>();
        pendingChanges.forEach((worker, until) -> remaining.put(worker, until - now));
        return remaining;
    }

    /**
     * Handles a listing in which a worker has a new role.
     *
     * @param worker the id of the worker
     */
    public void onRoleListed(String worker) {
        pendingChanges.remove(worker);
    }

    private void evaluate(String service, EngineProfile engine, long now) {
        List<ListedWorker> prefill = getUsableWorkers(service, WorkerRole.PREFILL);
        List<ListedWorker> decode = getUsableWorkers(service, WorkerRole.DECODE);
        RoleBalancer balancer = balancers.computeIfAbsent(service, s -> new RoleBalancer());
        balancer.addSample(
                prefill.stream()
                        .filter(w -> loadTracker.countTokens(w.id(), now) > 0)
                        .count(),
                decode.stream()
                        .mapToDouble(w -> loadTracker.getDecodeUtilization(w.id(), engine, now))
                        .sum(),
                now);
        if (now < nextChangeMillis) {
            balancer.clearWorkerCounts();
            return;
        }
        Optional<RoleBalancer.Change> change = balancer.decide(prefill.size(), decode.size(), now);
        if (change.isEmpty()) {
            return;
        }
        nextChangeMillis = now + ORDER_TIMEOUT_MILLIS;
        List<ListedWorker> leastLoaded = (change.get().to() == WorkerRole.DECODE ? prefill : decode)
                .stream()
                        .filter(w -> !loadTracker.isUnhealthy(w.id(), now))
                        .filter(w -> loadTracker.getNotices().isUsable(w, now))
                        .sorted(Comparator.comparingInt(w -> loadTracker.countTokens(w.id(), now)))
                        .limit(change.get().workers())
                        .toList();
        String inputs = balancer + " prefill_workers=" + prefill.size() + " decode_workers=" + decode.size();
        orderSender.submit(leastLoaded, change.get().to(), inputs, this::onOrderOutcome);
    }

    private List<ListedWorker> getUsableWorkers(String service, WorkerRole role) {
        return routingState.getWorkers(service).stream()
                .filter(w -> w.server().role() == role && !w.server().leaving() && !pendingChanges.containsKey(w.id()))
                .filter(w -> !loadTracker.getNotices().isLeaving(w, millis.getAsLong()))
                .toList();
    }

    private void onOrderOutcome(ListedWorker worker, boolean confirmed) {
        long now = millis.getAsLong();
        long until = now + (confirmed ? MAX_CHANGE_MILLIS : MAX_UNCONFIRMED_CHANGE_MILLIS);
        nextChangeMillis = now + SETTLE_MILLIS;
        pendingChanges.put(worker.id(), until);
        loadTracker.suspend(worker.id(), until);
    }
}
