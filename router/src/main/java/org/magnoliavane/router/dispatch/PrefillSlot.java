package org.magnoliavane.router.dispatch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.http.SerialExecutor;

/**
 * Asks the reservation owners of prefill workers for a slot of one, so that the prefills of many nodes do not queue at one
 * worker while another is idle: a prefill ends before a node hears of it by a report. A worker has one slot, or more if a
 * prefill is mostly latency. The prefill waits at a few workers if all are busy, and starts without a slot after a limited time.
 *
 * <p>Not thread-safe; all methods and callbacks run on the executor of the request.
 */
final class PrefillSlot implements CapacityRequest.Listener {
    /**
     * Number of workers at which a prefill waits; with four instead of two, a prefill of 95 ms takes 108 instead of 140 ms on
     * average at 0.8 of the capacity (docs/design/load-balancing.md).
     */
    private static final int MAX_WORKERS = 4;

    /** Multiple of the expected duration of the prefill for which it waits for a slot. */
    private static final int WAIT_FACTOR = 3;

    private static final Logger LOG = System.getLogger(PrefillSlot.class.getName());

    private final DispatchContext context;
    private final CallerRequest request;
    private final ListedWorker first;
    private final BiConsumer<ListedWorker, ReservationService.Reservation> onResult;
    private final CapacityRequest asking;
    private final long startMillis;
    private final long maxWaitMillis;

    private PrefillSlot(
            DispatchContext context,
            SerialExecutor executor,
            ListedWorker first,
            long expectedMillis,
            CallerRequest request,
            Function<Set<String>, Optional<ListedWorker>> chooser,
            BiConsumer<ListedWorker, ReservationService.Reservation> onResult) {
        int slots =
                context.loadTracker().getSpeeds().getPrefillSlots(first.server().service());
        this.context = context;
        this.request = request;
        this.first = first;
        this.maxWaitMillis = WAIT_FACTOR * expectedMillis;
        this.onResult = onResult;
        this.startMillis = context.clockMillis().getAsLong();
        long ageMillis = startMillis - request.arrivalMillis();
        long overdueInMillis = request.route().targetMillis() - ageMillis - expectedMillis;
        this.asking = new CapacityRequest(
                () -> MAX_WORKERS,
                context.reservationService(),
                executor,
                asked -> chooser.apply(asked).map(w -> new CapacityRequest.Candidate(w, false)),
                c -> new Demand(
                        c.worker().id(),
                        0,
                        0,
                        slots,
                        request.urgency(),
                        ageMillis,
                        overdueInMillis,
                        maxWaitMillis,
                        true),
                this);
    }

    /**
     * Asks for a slot.
     *
     * @param first the worker that is asked first, and that is used if no slot is granted
     * @param expectedMillis the expected duration of the prefill, in milliseconds
     * @param chooser chooses another worker that is not among those with the given ids
     * @param onResult receives the worker and its slot, unless the request is withdrawn
     */
    static PrefillSlot request(
            DispatchContext context,
            SerialExecutor executor,
            ListedWorker first,
            long expectedMillis,
            CallerRequest request,
            Function<Set<String>, Optional<ListedWorker>> chooser,
            BiConsumer<ListedWorker, ReservationService.Reservation> onResult) {
        PrefillSlot slot = new PrefillSlot(context, executor, first, expectedMillis, request, chooser, onResult);
        slot.asking.ask(new CapacityRequest.Candidate(first, true));
        return slot;
    }

    void withdraw() {
        asking.withdraw();
    }

    @Override
    public void onGranted(ListedWorker worker, ReservationService.Reservation slot) {
        recordWait();
        onResult.accept(worker, slot);
    }

    @Override
    public void onWaiting(ListedWorker worker) {
        context.metrics().counter("prefill.slot_waits").inc();
        log("prefill_waiting", worker);
    }

    @Override
    public void onRejected(ListedWorker worker, boolean last) {
        if (last) {
            context.metrics().counter("prefill.without_slot").inc();
            recordWait();
            log("prefill_without_slot", first);
            onResult.accept(first, () -> {});
        }
    }

    private void log(String event, ListedWorker worker) {
        LOG.log(
                Level.INFO,
                "event={0} request={1} worker={2} urgency={3} waited_millis={4} max_wait_millis={5}",
                event,
                request.getId(),
                worker.id(),
                request.urgency(),
                Long.toString(context.clockMillis().getAsLong() - startMillis),
                Long.toString(maxWaitMillis));
    }

    private void recordWait() {
        context.metrics()
                .histogram("prefill.slot_wait_millis")
                .update(context.clockMillis().getAsLong() - startMillis);
    }
}
