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
import java.util.function.Predicate;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.lease.OrderLease;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.router.store.KeyedStore;
import org.magnoliavane.router.store.OrderClaimResult;

/**
 * Orders workers to change their roles, under a lease that one node holds at a time. The lease is granted by a log in
 * the store.
 *
 * <p>Thread-safe.
 */
public final class RoleOrderSender {
    private static final Logger LOG = System.getLogger(RoleOrderSender.class.getName());

    /** Maximum wait for a worker. An order that is answered later may still be carried out. */
    private static final long WORKER_TIMEOUT_MILLIS = 400;

    private final String self;
    private final KeyedStore store;
    private final Predicate<ListedWorker> isUsable;
    private final HttpClient client;
    private final OrderFormat format;
    private final LongSupplier millis;
    private final OrderLease lease;

    /**
     * Creates a sender without a lease.
     *
     * @param self the name of this node
     * @param store contains the log that grants the lease
     * @param isUsable returns whether a worker may still get requests
     * @param client sends the requests to the workers
     * @param format translates the orders
     * @param leaseMillis the time in milliseconds within which two nodes must not both send orders; 0 to send none
     * @param millis a monotonic clock in milliseconds
     */
    public RoleOrderSender(
            String self,
            KeyedStore store,
            Predicate<ListedWorker> isUsable,
            HttpClient client,
            OrderFormat format,
            long leaseMillis,
            LongSupplier millis) {
        this.self = self;
        this.store = store;
        this.isUsable = isUsable;
        this.client = client;
        this.format = format;
        this.millis = millis;
        this.lease = new OrderLease(leaseMillis);
    }

    /**
     * Discovers the end of the order log by an early acquisition, so that the wait for the lease of another holder is
     * over when orders are needed.
     */
    void prepareLease() {
        if (isLogEndUnknown()) {
            acquireLease(() -> {});
        }
    }

    /**
     * Adds the known end of the order log to a report of this node, if it belongs to the epoch of the store in the report.
     *
     * @param report the report to complete
     */
    public synchronized void addTo(NodeReport.Builder report) {
        if (lease.getLogEnd() > 0 && report.getStoreEra() == lease.getEra()) {
            report.setOrderLogEnd(lease.getLogEnd()).setOrderLogAgeMillis(lease.getLogEndAgeMillis(millis.getAsLong()));
        }
    }

    /**
     * Updates the known end of the order log from the report of another node.
     *
     * @param report the report of the other node
     */
    public synchronized void onPeerReport(NodeReport report) {
        lease.observeLogEnd(
                report.getOrderLogEnd(), report.getStoreEra(), report.getOrderLogAgeMillis(), millis.getAsLong());
    }

    /**
     * Records the epoch of the store, as this node has read it.
     *
     * @param era the epoch
     */
    public synchronized void onStoreEra(long era) {
        lease.observeEra(era, millis.getAsLong());
    }

    /**
     * Orders workers to change to a role if the lease is granted.
     *
     * @param workers the workers
     * @param role the new role
     * @param inputs the inputs of the decision, for the log line
     * @param onOutcome called for each worker that has accepted its order, with true, or that may have accepted it,
     *     with false
     */
    void submit(
            List<ListedWorker> workers, WorkerRole role, String inputs, BiConsumer<ListedWorker, Boolean> onOutcome) {
        acquireLease(() -> workers.forEach(w -> requestState(new Order(w, role, inputs, onOutcome))));
    }

    private synchronized boolean isLogEndUnknown() {
        return lease.getLogEnd() == 0;
    }

    private void acquireLease(Runnable orders) {
        startAcquisition()
                .ifPresent(end -> store.appendOrderClaim(self, end)
                        .whenComplete((claim, failure) -> onClaimResult(Optional.ofNullable(claim), failure, orders)));
    }

    private synchronized OptionalLong startAcquisition() {
        return lease.startAcquisition(millis.getAsLong(), System.currentTimeMillis());
    }

    private void onClaimResult(Optional<OrderClaimResult> claim, Throwable failure, Runnable orders) {
        if (claim.isEmpty()) {
            LOG.log(Level.WARNING, "event=order_claim outcome=unanswered reason=\"{0}\"", failure.getMessage());
            abandonAcquisition();
            return;
        }
        LOG.log(
                Level.INFO,
                "event=order_claim outcome={0} end={1} era={2}",
                claim.get().accepted() ? "accepted" : "refused",
                Long.toString(claim.get().logEnd()),
                Long.toString(claim.get().era()));
        endAcquisition(claim.get());
        if (findFencingToken().isPresent()) {
            orders.run();
        } else if (claim.get().accepted()) {
            LOG.log(Level.INFO, "event=order_claim outcome=abandoned reason=\"answered late or in another epoch\"");
        }
    }

    private synchronized void endAcquisition(OrderClaimResult claim) {
        if (claim.accepted()) {
            lease.completeAcquisition(claim.logEnd(), claim.era(), millis.getAsLong());
        } else {
            lease.rejectAcquisition(claim.logEnd(), claim.era(), millis.getAsLong());
        }
    }

    private synchronized void abandonAcquisition() {
        lease.abandonAcquisition(millis.getAsLong());
    }

    private synchronized OptionalLong findFencingToken() {
        return lease.findFencingToken(millis.getAsLong(), System.currentTimeMillis());
    }

    /**
     * Reads the state before an order is sent. The order names the number of orders accepted until then, so that a
     * worker refuses it when it arrives after newer ones.
     */
    private void requestState(Order order) {
        if (!isUsable.test(order.worker)) {
            order.logOutcome("not_sent reason=\"the worker leaves or wants no requests\"");
            return;
        }
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

    private void send(Order order, WorkerState state) throws IOException {
        if (!isUsable.test(order.worker)) {
            throw new IOException("the worker leaves or wants no requests");
        }
        if (state.changingRole() || state.role() != order.worker.server().role()) {
            throw new IOException("the worker is changing its role or has another role than listed");
        }
        OptionalLong fencingToken = findFencingToken();
        if (fencingToken.isEmpty()) {
            throw new IOException("the order lease has expired");
        }
        String logPrefix =
                "fence=" + fencingToken.getAsLong() + " orders_before=" + state.acceptedOrders() + " outcome=";
        client.send(format.createOrderRequest(order.worker, order.role, self, fencingToken.getAsLong(), state)
                        .withTimeoutMillis(WORKER_TIMEOUT_MILLIS))
                .whenComplete((response, failure) -> {
                    if (failure == null) {
                        onOrderResponse(order, logPrefix, format.readOutcome(response.status()));
                        return;
                    }
                    order.logOutcome(logPrefix + "unanswered reason=\"" + failure.getMessage() + '"');
                    // The worker may still carry out the order, at once or seconds later.
                    order.onOutcome.accept(order.worker, false);
                });
    }

    private void onOrderResponse(Order order, String logPrefix, OrderOutcome outcome) {
        order.logOutcome(logPrefix + outcome.name().toLowerCase(Locale.ROOT));
        if (outcome == OrderOutcome.ACCEPTED) {
            order.onOutcome.accept(order.worker, true);
        } else if (outcome == OrderOutcome.FENCED) {
            abandonAcquisition();
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
