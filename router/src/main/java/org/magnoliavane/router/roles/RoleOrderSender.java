package org.magnoliavane.router.roles;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.lease.OrderRight;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.router.store.KeyedStore;
import org.magnoliavane.router.store.OrderClaimResult;

/**
 * Orders workers to take on roles, under a right that the store grants to one node at a time.
 *
 * <p>Thread-safe.
 */
public final class RoleOrderSender {
    private static final Logger LOG = System.getLogger(RoleOrderSender.class.getName());

    /** Longest wait for a worker; an order that is answered later is carried out none the less. */
    private static final long WORKER_TIMEOUT_MILLIS = 400;

    private final String self;
    private final KeyedStore store;
    private final HttpClient client;
    private final OrderFormat format;
    private final LongSupplier millis;
    private final OrderRight lease;

    /**
     * Creates a sender of orders.
     *
     * @param self the name of this node
     * @param store grants the right to give orders
     * @param client sends the orders
     * @param format translates them
     * @param leaseMillis the time within which two nodes must not both give orders; 0 for no orders at all
     * @param millis a monotonic clock in milliseconds
     */
    public RoleOrderSender(
            String self,
            KeyedStore store,
            HttpClient client,
            OrderFormat format,
            long leaseMillis,
            LongSupplier millis) {
        this.self = self;
        this.store = store;
        this.client = client;
        this.format = format;
        this.millis = millis;
        this.lease = new OrderRight(leaseMillis);
    }

    /** Learns who has given orders, so that the wait for their right to end is over when orders are needed. */
    void prepareLease() {
        if (isLogEndUnknown()) {
            acquireLease(() -> {});
        }
    }

    /**
     * Tells the other nodes what is known of those who give orders.
     *
     * @param report the report to complete
     */
    public synchronized void addTo(NodeReport.Builder report) {
        if (lease.getEnd() > 0) {
            report.setOrderLogEnd(lease.getEnd()).setOrderLogAgeMillis(lease.getAgeMillis(millis.getAsLong()));
        }
    }

    /**
     * Takes note of what another node knows of those who give orders.
     *
     * @param report the report of the other node
     */
    public synchronized void onPeerReport(NodeReport report) {
        lease.heard(report.getOrderLogEnd(), report.getOrderLogAgeMillis(), millis.getAsLong());
    }

    /**
     * Orders workers to take on a role, if the right to do so is granted.
     *
     * @param workers the workers
     * @param role the role
     * @param inputs what decided, for the log
     * @param onTaken takes each worker that has taken its order, with true, or may have, with false
     */
    void submit(List<ListedWorker> workers, WorkerRole role, String inputs, BiConsumer<ListedWorker, Boolean> onTaken) {
        acquireLease(() -> workers.forEach(w -> requestState(new Order(w, role, inputs, onTaken))));
    }

    private synchronized boolean isLogEndUnknown() {
        return lease.getEnd() == 0;
    }

    private synchronized void acquireLease(Runnable orders) {
        OptionalLong end = lease.startTry(millis.getAsLong(), System.currentTimeMillis());
        if (end.isEmpty()) {
            return;
        }
        store.appendOrderClaim(self, end.getAsLong())
                .whenComplete((claim, failure) -> onClaimAnswered(Optional.ofNullable(claim), failure, orders));
    }

    private synchronized void onClaimAnswered(Optional<OrderClaimResult> claim, Throwable failure, Runnable orders) {
        if (claim.isEmpty()) {
            LOG.log(Level.WARNING, "event=order_claim outcome=unanswered reason=\"{0}\"", failure.getMessage());
            lease.lost(millis.getAsLong());
            return;
        }
        LOG.log(
                Level.INFO,
                "event=order_claim outcome={0} end={1}",
                claim.get().accepted() ? "accepted" : "refused",
                Long.toString(claim.get().logEnd()));
        if (claim.get().accepted()) {
            lease.accepted(claim.get().logEnd());
            orders.run();
        } else {
            lease.refused(claim.get().logEnd(), millis.getAsLong());
        }
    }

    /** Asks for the state first: an order that arrives late must not be carried out after newer ones. */
    private void requestState(Order order) {
        client.send(format.createStateRequest(order.worker).withTimeoutMillis(WORKER_TIMEOUT_MILLIS))
                .whenComplete((response, failure) -> {
                    try {
                        send(order, readState(response, failure));
                    } catch (IOException e) {
                        order.logOutcome("not_sent reason=\"" + e.getMessage() + '"');
                    }
                });
    }

    private WorkerState readState(HttpResponse response, Throwable failure) throws IOException {
        if (failure != null) {
            throw new IOException("no state: " + failure.getMessage(), failure);
        }
        if (response.status() != 200) {
            throw new IOException("no state: status " + response.status());
        }
        return format.readState(response.body());
    }

    private synchronized void send(Order order, WorkerState state) throws IOException {
        if (state.changingRole() || state.role() != order.worker.server().role()) {
            throw new IOException("the worker is changing or has another role than listed");
        }
        OptionalLong fence = lease.findFence(millis.getAsLong(), System.currentTimeMillis());
        if (fence.isEmpty()) {
            throw new IOException("the right to give orders has run out");
        }
        String given = "fence=" + fence.getAsLong() + " orders_before=" + state.acceptedOrders() + " outcome=";
        client.send(format.createOrderRequest(order.worker, order.role, self, fence.getAsLong(), state)
                        .withTimeoutMillis(WORKER_TIMEOUT_MILLIS))
                .whenComplete((response, failure) -> {
                    if (failure == null) {
                        onOrderAnswered(order, given, format.readOutcome(response.status()));
                        return;
                    }
                    order.logOutcome(given + "unanswered reason=\"" + failure.getMessage() + '"');
                    // The order may be carried out all the same, at once or seconds later.
                    order.onOutcome.accept(order.worker, false);
                });
    }

    private void onOrderAnswered(Order order, String given, OrderOutcome outcome) {
        order.logOutcome(given + outcome.name().toLowerCase(Locale.ROOT));
        if (outcome == OrderOutcome.ACCEPTED) {
            order.onOutcome.accept(order.worker, true);
        } else if (outcome == OrderOutcome.FENCED) {
            synchronized (this) {
                lease.lost(millis.getAsLong());
            }
        }
    }

    private record Order(
            ListedWorker worker, WorkerRole role, String inputs, BiConsumer<ListedWorker, Boolean> onOutcome) {
        void logOutcome(String outcome) {
            LOG.log(
                    Level.INFO,
                    "event=role_order worker={0} from={1} to={2} {3} {4}",
                    worker.id(),
                    worker.server().role(),
                    role,
                    inputs,
                    outcome);
        }
    }
}
