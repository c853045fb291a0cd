package org.magnoliavane.router.roles;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * Changes the roles of model workers as the load changes. One node does this at a time; requests go on without it.
 *
 * <p>Thread-safe.
 */
public final class RoleController {
    /** Pause between two changes: a worker changes its role within about six seconds, and then the load must settle. */
    private static final long SETTLE_MILLIS = 10_000;

    /** Time for the claim of the right to give orders and for the orders themselves. */
    private static final long ORDER_MILLIS = 2000;

    /**
     * Longest time for which a worker that changes its role is left alone. Its listing usually ends it after some seconds;
     * while the store is away the listing shows the old role.
     */
    private static final long CHANGE_MILLIS = 30_000;

    /** The same for a worker that may not have taken its order. */
    private static final long UNSURE_MILLIS = 12_000;

    private final BooleanSupplier isElected;
    private final RoutingState fleet;
    private final WorkerLoadTracker ledger;
    private final RoleOrders orders;
    private final LongSupplier millis;
    private final Map<String, RoleBalancer> balances = new HashMap<>();
    private final Map<String, Long> changing = new HashMap<>();
    private boolean prepared;
    private long settledMillis = Long.MIN_VALUE;

    /**
     * Creates a controller.
     *
     * @param isElected says whether this node should give the orders
     * @param fleet configuration and workers
     * @param ledger load and health of the workers
     * @param orders sends the orders
     * @param millis a monotonic clock in milliseconds
     */
    public RoleController(
            BooleanSupplier isElected,
            RoutingState fleet,
            WorkerLoadTracker ledger,
            RoleOrders orders,
            LongSupplier millis) {
        this.isElected = isElected;
        this.fleet = fleet;
        this.ledger = ledger;
        this.orders = orders;
        this.millis = millis;
    }

    /** Looks at the load and changes roles if that helps; called several times a second. */
    public synchronized void tick() {
        if (!isElected.getAsBoolean()) {
            balances.clear();
            prepared = false;
            return;
        }
        if (!prepared) {
            prepared = true;
            orders.prepare();
        }
        long now = millis.getAsLong();
        for (ServiceProfile service :
                fleet.getRoutingTable().map(r -> r.getServices()).orElse(List.of())) {
            service.engine().ifPresent(engine -> look(service.name(), engine, now));
        }
    }

    /**
     * Gets the workers that are changing their role by this node's order.
     *
     * @return for each worker the time in milliseconds for which it should be left alone
     */
    public synchronized Map<String, Long> getChanging() {
        long now = millis.getAsLong();
        changing.values().removeIf(until -> until <= now);
        Map<String, Long> left = new HashMap<>();
        changing.forEach((worker, until) -> left.put(worker, until - now));
        return left;
    }

    /**
     * Takes note that the listing of a worker shows a new role.
     *
     * @param worker the id of the worker
     */
    public synchronized void changed(String worker) {
        changing.remove(worker);
    }

    private void look(String service, EngineProfile engine, long now) {
        List<ListedWorker> prefill = usable(service, WorkerRole.PREFILL);
        List<ListedWorker> decode = usable(service, WorkerRole.DECODE);
        RoleBalancer balance = balances.computeIfAbsent(service, s -> new RoleBalancer());
        balance.addSample(
                prefill.stream()
                        .filter(w -> ledger.countTokens(w.id(), now) > 0)
                        .count(),
                decode.stream().mapToDouble(w -> usedMemory(w, engine, now)).sum(),
                now);
        if (now < settledMillis) {
            balance.clearWorkerCounts();
            return;
        }
        Optional<RoleBalancer.Change> change = balance.decide(prefill.size(), decode.size(), now);
        if (change.isEmpty()) {
            return;
        }
        settledMillis = now + ORDER_MILLIS;
        List<ListedWorker> idlest = (change.get().to() == WorkerRole.DECODE ? prefill : decode)
                .stream()
                        .filter(w -> !ledger.isUnhealthy(w.id(), now))
                        .sorted(Comparator.comparingInt(w -> ledger.countTokens(w.id(), now)))
                        .limit(change.get().workers())
                        .toList();
        String inputs = balance + " prefill_workers=" + prefill.size() + " decode_workers=" + decode.size();
        orders.give(idlest, change.get().to(), inputs, this::taken);
    }

    private double usedMemory(ListedWorker worker, EngineProfile engine, long now) {
        return Math.min(1, (double) ledger.countTokens(worker.id(), now) / engine.getUsableTokens());
    }

    private List<ListedWorker> usable(String service, WorkerRole role) {
        return fleet.getWorkers(service).stream()
                .filter(w -> w.server().role() == role && !w.server().leaving() && !changing.containsKey(w.id()))
                .toList();
    }

    private synchronized void taken(ListedWorker worker, boolean sure) {
        long now = millis.getAsLong();
        long until = now + (sure ? CHANGE_MILLIS : UNSURE_MILLIS);
        settledMillis = now + SETTLE_MILLIS;
        changing.put(worker.id(), until);
        ledger.suspend(worker.id(), until);
    }
}
