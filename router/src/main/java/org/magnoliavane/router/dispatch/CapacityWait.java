package org.magnoliavane.router.dispatch;

import java.util.Optional;
import java.util.Set;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ReservationTable;
import org.magnoliavane.routing.EngineProfile;

/**
 * Waits in the admission queue until a decode worker has capacity for a streamed request, and reserves it at the owner of the
 * worker. A request may wait several times, one after the other.
 *
 * <p>The admission queue calls the methods of {@link AdmissionQueues.WaitingRequest} on any thread. Everything else, including
 * the listener, runs on the executor of the request.
 */
final class CapacityWait implements AdmissionQueues.WaitingRequest, CapacityRequest.Listener {
    /** Time for which a worker counts as full after its reservation owner rejected a reservation. */
    private static final long REJECTED_BACKOFF_MILLIS = 100;

    /** Interval at which an overdue request that waits is checked for being hopeless; callers can use the time they get back. */
    private static final long OVERDUE_CHECK_INTERVAL_MILLIS = 200;

    /** Interval at which a request that waits at reservation owners looks for workers that have become free meanwhile. */
    private static final long FREE_WORKER_INTERVAL_MILLIS = 200;

    /** Receives the results, and knows the time limit of the request. */
    interface Listener {
        /** Gets the time after which the next event could not reach the caller before its timeout. */
        long getLatestStartMillis();

        /** Called when a worker has capacity. The listener releases the reservation. */
        void onAdmitted(ListedWorker worker, ReservationService.Reservation reservation);

        /** Called repeatedly when the request is overdue; returns whether the wait is over. */
        boolean onOverdue();

        /** Called when the latest start has passed. The wait is over. */
        void onWaitTimeout();
    }

    private final RequestScope scope;
    private final DispatchContext context;
    private final CallerRequest request;
    private final GenerationSize generationSize;
    private final StreamWorkers workers;
    private final PrefillExchange prefill;
    private final Listener listener;
    private volatile boolean waiting;

    /** The latest start with which the request is on time, as of its latest wait. */
    private volatile long onTimeStartMillis;

    private Optional<CapacityRequest> capacityRequest = Optional.empty();
    private int waits;

    CapacityWait(
            RequestScope scope,
            GenerationSize generationSize,
            StreamWorkers workers,
            PrefillExchange prefill,
            Listener listener) {
        this.scope = scope;
        this.context = scope.context();
        this.request = scope.request();
        this.generationSize = generationSize;
        this.workers = workers;
        this.prefill = prefill;
        this.listener = listener;
    }

    /**
     * Begins to wait; the queue calls {@link #tryAdmit} immediately if there is free capacity.
     *
     * @param newOnTimeStartMillis the latest start with which the request is on time, in milliseconds
     */
    void start(long newOnTimeStartMillis) {
        waiting = true;
        onTimeStartMillis = newOnTimeStartMillis;
        context.admissionQueues()
                .enqueue(scope.service(), this, request.urgency(), request.arrivalMillis(), onTimeStartMillis);
        if (waiting) {
            int wait = ++waits;
            scope.schedule(onTimeStartMillis + 1 - scope.now(), () -> checkOverdue(wait));
            scope.schedule(listener.getLatestStartMillis() - scope.now(), () -> {
                // The timer of an earlier wait may be due while the request waits again.
                if (wait == waits) {
                    handleQueueTimeout();
                }
            });
        }
    }

    boolean isWaiting() {
        return waiting;
    }

    /** Leaves the queue and withdraws from the owners, if the request waits. */
    void stop() {
        if (waiting) {
            waiting = false;
            withdrawCapacityRequest();
            context.admissionQueues().handleReservationResult(scope.service(), this, false);
        }
    }

    private void checkOverdue(int wait) {
        if (wait == waits && waiting && !listener.onOverdue()) {
            scope.schedule(OVERDUE_CHECK_INTERVAL_MILLIS, () -> checkOverdue(wait));
        }
    }

    private void handleQueueTimeout() {
        if (waiting) {
            stop();
            listener.onWaitTimeout();
        }
    }

    @Override
    public boolean isDone() {
        return !waiting;
    }

    @Override
    public int getTokens() {
        return generationSize.estimateMemoryTokens();
    }

    @Override
    public AdmissionQueues.Outcome tryAdmit() {
        Optional<CapacityRequest.Candidate> first = workers.chooseCandidate(Set.of());
        if (first.isEmpty() || prefill.mustQueue(first.get().worker())) {
            return AdmissionQueues.Outcome.NO_CAPACITY;
        }
        if (workers.findEngine().isEmpty()) {
            waiting = false;
            scope.executor().execute(() -> listener.onAdmitted(first.get().worker(), () -> {}));
            return AdmissionQueues.Outcome.ADMITTED;
        }
        scope.executor().execute(() -> askForCapacity(first.get()));
        return AdmissionQueues.Outcome.PENDING;
    }

    private void askForCapacity(CapacityRequest.Candidate first) {
        if (!waiting) {
            context.admissionQueues().handleReservationResult(scope.service(), this, false);
            return;
        }
        CapacityRequest asking = new CapacityRequest(
                context.reservationService(),
                () -> onTimeStartMillis < scope.now(),
                scope.executor(),
                workers::chooseCandidate,
                this::createDemand,
                this);
        capacityRequest.ifPresent(CapacityRequest::withdraw);
        capacityRequest = Optional.of(asking);
        asking.ask(first);
        scope.schedule(FREE_WORKER_INTERVAL_MILLIS, () -> lookForFreeWorker(asking));
    }

    private void lookForFreeWorker(CapacityRequest asking) {
        if (capacityRequest.isPresent() && capacityRequest.get() == asking) {
            asking.lookForFree();
            scope.schedule(FREE_WORKER_INTERVAL_MILLIS, () -> lookForFreeWorker(asking));
        }
    }

    private ReservationTable.Demand createDemand(CapacityRequest.Candidate candidate) {
        EngineProfile engine = workers.findEngine().orElseThrow();
        long now = scope.now();
        return new ReservationTable.Demand(
                candidate.worker().id(),
                getTokens(),
                engine.getUsableTokens(),
                engine.slots(),
                request.urgency(),
                now - request.arrivalMillis(),
                onTimeStartMillis - now,
                Math.max(0, listener.getLatestStartMillis() - now),
                candidate.free());
    }

    @Override
    public void withdraw() {
        scope.executor().execute(this::withdrawCapacityRequest);
    }

    private void withdrawCapacityRequest() {
        capacityRequest.ifPresent(CapacityRequest::withdraw);
        capacityRequest = Optional.empty();
    }

    @Override
    public void onGranted(ListedWorker worker, ReservationService.Reservation handle) {
        capacityRequest = Optional.empty();
        if (!waiting) {
            handle.release();
            return;
        }
        if (!workers.mayUseGrant(worker)) {
            handle.release();
            scope.log("grant_declined", worker, "reason=\"the worker is unhealthy, full or wants no requests\"");
            context.metrics().counter("admission.declined_grants").inc();
            context.admissionQueues().handleReservationResult(scope.service(), this, false);
            return;
        }
        waiting = false;
        // The request leaves the queue first, because it may have to wait again at once.
        context.admissionQueues().handleReservationResult(scope.service(), this, true);
        listener.onAdmitted(worker, context.admissionControl().measure(scope.service(), getTokens(), handle));
    }

    @Override
    public void onWaiting(ListedWorker worker) {
        scope.log(
                "waiting",
                worker,
                "urgency=" + request.urgency() + " own_tokens=" + getTokens() + " overdue_in_millis="
                        + (onTimeStartMillis - scope.now()) + " wait_millis="
                        + (listener.getLatestStartMillis() - scope.now()));
        context.metrics().counter("admission.waits").inc();
    }

    @Override
    public void onRejected(ListedWorker worker, boolean last) {
        context.loadTracker().markFull(worker.id(), scope.now() + REJECTED_BACKOFF_MILLIS);
        context.metrics().counter("admission.rejections").inc();
        if (last) {
            capacityRequest = Optional.empty();
            context.admissionQueues().handleReservationResult(scope.service(), this, false);
        }
    }
}
