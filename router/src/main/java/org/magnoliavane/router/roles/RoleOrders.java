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
import org.magnoliavane.lease.OrderLease;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.router.store.KeyedStore;
import org.magnoliavane.router.store.OrderClaim;

/**
 * Orders workers to take on roles, under a right that the store grants to one node at a time.
 *
 * <p>Thread-safe.
 */
public final class RoleOrders {
    private static final Logger LOG = System.getLogger(RoleOrders.class.getName());

    /** Longest wait for a worker; an order that is answered later is carried out none the less. */
    private static final long WORKER_MILLIS = 400;

    private final String self;
    private final KeyedStore store;
    private final HttpClient client;
    private final OrderFormat format;
    private final LongSupplier millis;
    private final OrderLease right;

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
    public RoleOrders(
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
        this.right = new OrderLease(leaseMillis);
    }

    /** Learns who has given orders, so that the wait for their right to end is over when orders are needed. */
    void prepare() {
        if (isLogUnknown()) {
            claim(() -> {});
        }
    }

    /**
     * Tells the other nodes what is known of those who give orders.
     *
     * @param report the report to complete
     */
    public synchronized void addTo(NodeReport.Builder report) {
        if (right.getLogEnd() > 0) {
            report.setOrderLogEnd(right.getLogEnd()).setOrderLogAgeMillis(right.getLogEndAgeMillis(millis.getAsLong()));
        }
    }

    /**
     * Takes note of what another node knows of those who give orders.
     *
     * @param report the report of the other node
     */
    public synchronized void heard(NodeReport report) {
        right.observeLogEnd(report.getOrderLogEnd(), report.getOrderLogAgeMillis(), millis.getAsLong());
    }

    /**
     * Orders workers to take on a role, if the right to do so is granted.
     *
     * @param workers the workers
     * @param role the role
     * @param inputs what decided, for the log
     * @param onTaken takes each worker that has taken its order, with true, or may have, with false
     */
    void give(List<ListedWorker> workers, WorkerRole role, String inputs, BiConsumer<ListedWorker, Boolean> onTaken) {
        claim(() -> workers.forEach(w -> order(new Order(w, role, inputs, onTaken))));
    }

    private synchronized boolean isLogUnknown() {
        return right.getLogEnd() == 0;
    }

    private synchronized void claim(Runnable orders) {
        OptionalLong end = right.startAcquisition(millis.getAsLong(), System.currentTimeMillis());
        if (end.isEmpty()) {
            return;
        }
        store.claimOrders(self, end.getAsLong())
                .whenComplete((claim, failure) -> claimAnswered(Optional.ofNullable(claim), failure, orders));
    }

    private synchronized void claimAnswered(Optional<OrderClaim> claim, Throwable failure, Runnable orders) {
        if (claim.isEmpty()) {
            LOG.log(Level.WARNING, "event=order_claim outcome=unanswered reason=\"{0}\"", failure.getMessage());
            right.abandonAcquisition(millis.getAsLong());
            return;
        }
        LOG.log(
                Level.INFO,
                "event=order_claim outcome={0} end={1}",
                claim.get().accepted() ? "accepted" : "refused",
                Long.toString(claim.get().end()));
        if (claim.get().accepted()) {
            right.completeAcquisition(claim.get().end());
            orders.run();
        } else {
            right.rejectAcquisition(claim.get().end(), millis.getAsLong());
        }
    }

    /** Asks for the state first: an order that arrives late must not be carried out after newer ones. */
    private void order(Order order) {
        client.send(format.askState(order.worker).withTimeoutMillis(WORKER_MILLIS))
                .whenComplete((response, failure) -> {
                    try {
                        send(order, readState(response, failure));
                    } catch (IOException e) {
                        order.log("not_sent reason=\"" + e.getMessage() + '"');
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
        if (state.changing() || state.role() != order.worker.server().role()) {
            throw new IOException("the worker is changing or has another role than listed");
        }
        OptionalLong fence = right.findFencingToken(millis.getAsLong(), System.currentTimeMillis());
        if (fence.isEmpty()) {
            throw new IOException("the right to give orders has run out");
        }
        String given = "fence=" + fence.getAsLong() + " orders_before=" + state.orders() + " outcome=";
        client.send(format.orderRole(order.worker, order.role, self, fence.getAsLong(), state)
                        .withTimeoutMillis(WORKER_MILLIS))
                .whenComplete((response, failure) -> {
                    if (failure == null) {
                        answered(order, given, format.readOutcome(response.status()));
                        return;
                    }
                    order.log(given + "unanswered reason=\"" + failure.getMessage() + '"');
                    // The order may be carried out all the same, at once or seconds later.
                    order.onTaken.accept(order.worker, false);
                });
    }

    private void answered(Order order, String given, OrderOutcome outcome) {
        order.log(given + outcome.name().toLowerCase(Locale.ROOT));
        if (outcome == OrderOutcome.ACCEPTED) {
            order.onTaken.accept(order.worker, true);
        } else if (outcome == OrderOutcome.FENCED) {
            synchronized (this) {
                right.abandonAcquisition(millis.getAsLong());
            }
        }
    }

    private record Order(
            ListedWorker worker, WorkerRole role, String inputs, BiConsumer<ListedWorker, Boolean> onTaken) {
        void log(String outcome) {
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
