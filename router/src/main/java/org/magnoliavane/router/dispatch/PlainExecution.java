package org.magnoliavane.router.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.PlainAdmission;
import org.magnoliavane.budget.BudgetedBuffer;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.budget.ByteBudget.Allocation;
import org.magnoliavane.http.server.StreamWriter;

/**
 * Executes a request for a plain service. A request that did not run is retried at another worker; a request that may have
 * run is retried only if it is idempotent. Where many nodes share few workers, each exchange needs a slot from the reservation
 * owner of its worker.
 *
 * <p>Responses are collected, so that one that breaks off can be replaced by that of another worker. If there is no memory for
 * that, the response is relayed as it is received, unless it is an error or another worker runs the request as well.
 */
final class PlainExecution extends RequestExecution implements WorkerExchange.Listener, CapacityRequest.Listener {
    /** Largest number of workers to which a request is sent, including those that do not run it. */
    private static final int MAX_ATTEMPTS = 4;

    /** Share of the remaining time after which an idempotent request is also sent to a second worker. */
    private static final double HEDGE_DELAY_SHARE = 0.45;

    /** Number of workers at which a request waits for a slot; plain services have few workers. */
    private static final int MAX_SLOT_WORKERS = 2;

    /** Largest response; a faulty worker may send bytes without end. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Size up to which responses have a share of the budget of their own. */
    private static final int SMALL_RESPONSE_BYTES = 64 * 1024;

    private final PlainWorkers workers;
    private final boolean retryable;
    private final List<Attempt> activeAttempts = new ArrayList<>();

    /** The request for a slot that has no final reply. */
    private Optional<CapacityRequest> slotRequest = Optional.empty();

    /** Whether the request for a slot waits for it; that of a hedged request does not. */
    private boolean waitsForSlot;

    private long slotRequestedMillis;

    /** Whether a request has waited for a slot for as long as it may. */
    private boolean slotRefused;

    /** A slot whose exchange has not been started. */
    private ReservationService.Reservation unusedSlot = () -> {};

    private Optional<Attempt> errorResponse = Optional.empty();
    private int attempts;
    private int possibleExecutions;

    PlainExecution(DispatchContext context, CallerRequest request, String service, CallerResponse response) {
        super(context, request, service, response);
        this.workers = new PlainWorkers(context, service);
        this.retryable = request.route().isRetryable();
    }

    @Override
    void execute() {
        if (!trySend(true)) {
            failWithoutResponse("no worker of service " + service + " is available", NO_WORKER_RETRY_AFTER_MILLIS);
            return;
        }
        if (retryable) {
            schedule((long) (getRemainingMillis() * HEDGE_DELAY_SHARE), this::sendHedge);
        }
    }

    @Override
    boolean isBeginning() {
        return !activeAttempts.isEmpty();
    }

    /** A plain request that a worker is running is left to its end, whose outcome is certain only then. */
    @Override
    boolean isPastBeginning() {
        return !activeAttempts.isEmpty();
    }

    @Override
    boolean isEligible(ListedWorker worker) {
        return worker.server().role() == WorkerRole.PLAIN;
    }

    /**
     * Sends the request to a worker, or asks for a slot first.
     *
     * @param waits whether the request waits for a slot
     * @return false if it cannot be sent
     */
    private boolean trySend(boolean waits) {
        if (attempts >= MAX_ATTEMPTS || slotRefused || getRemainingMillis() <= 0 || !mayProceed()) {
            return false;
        }
        if (slotRequest.isPresent()) {
            return true;
        }
        PlainAdmission admission = workers.getAdmission();
        if (admission.needsSlots()) {
            return tryRequestSlot(admission, waits);
        }
        Optional<ListedWorker> worker = context.workerSelector().choose(workers.score(excludedWorkers));
        if (worker.isEmpty() || !tryAcquireExchange()) {
            return false;
        }
        send(worker.get(), () -> {}, "");
        return true;
    }

    private boolean tryRequestSlot(PlainAdmission admission, boolean waits) {
        Optional<CapacityRequest.Candidate> first = chooseCandidate(admission, Set.of());
        if (first.isEmpty() || exchanges > 0 && !context.retryBudgets().tryAcquire(service)) {
            return false;
        }
        PlainAdmission.Times times = new PlainAdmission.Times(
                request.arrivalMillis(), request.route().targetMillis(), request.deadlineMillis());
        CapacityRequest asking = new CapacityRequest(
                () -> MAX_SLOT_WORKERS,
                context.reservationService(),
                executor,
                asked -> chooseCandidate(admission, asked),
                c -> admission.createDemand(
                        c.worker(),
                        request.urgency(),
                        times,
                        getExpectedMillis(c.worker()),
                        waits,
                        waits && c.free(),
                        now()),
                this);
        slotRequest = Optional.of(asking);
        waitsForSlot = waits;
        slotRequestedMillis = now();
        asking.ask(first.get());
        return true;
    }

    private double getExpectedMillis(ListedWorker worker) {
        return context.loadTracker().getSpeeds().getPlainMillis(service, worker.id(), now());
    }

    /**
     * Chooses a worker at which this node has not used up its share of the connections. Only the first is believed to have a
     * free slot: a silent owner must not become the way around the others, at which the request waits.
     */
    private Optional<CapacityRequest.Candidate> chooseCandidate(PlainAdmission admission, Set<String> asked) {
        return context.workerSelector()
                .choose(workers.scoreForSlot(admission, excludedWorkers, asked))
                .map(w -> new CapacityRequest.Candidate(w, asked.isEmpty()));
    }

    @Override
    public void onGranted(ListedWorker worker, ReservationService.Reservation slot) {
        slotRequest = Optional.empty();
        if (ended || !waitsForSlot && !mayHedge() || !mayProceed()) {
            slot.release();
            return;
        }
        if (workers.isConnectionShareUsed(workers.getAdmission(), worker)) {
            // Other requests of this node were granted meanwhile.
            slot.release();
            retryOrFinish("all connections of this node to the worker are in use");
            return;
        }
        long waitedMillis = now() - slotRequestedMillis;
        context.metrics().histogram("plain.slot_wait_millis").update(waitedMillis);
        unusedSlot = slot;
        send(worker, slot, " slot_millis=" + waitedMillis);
    }

    @Override
    public void onWaiting(ListedWorker worker) {
        context.metrics().counter("plain.slot_waits").inc();
        log(
                "slot_waiting",
                worker,
                "urgency=" + request.urgency() + " age_millis=" + (now() - request.arrivalMillis())
                        + " expected_millis=" + (long) getExpectedMillis(worker));
    }

    @Override
    public void onRejected(ListedWorker worker, boolean last) {
        if (!last || ended) {
            return;
        }
        slotRequest = Optional.empty();
        if (!activeAttempts.isEmpty()) {
            return;
        }
        if (!waitsForSlot) {
            retryOrFinish("no slot was free for a second exchange");
            return;
        }
        slotRefused = true;
        context.metrics().counter("plain.slot_refusals").inc();
        log(
                "slot_refused",
                worker,
                "urgency=" + request.urgency() + " waited_millis=" + (now() - slotRequestedMillis)
                        + " remaining_millis=" + getRemainingMillis());
        retryOrFinish(
                "no worker can serve the request in time",
                PlainAdmission.computeRetryAfterMillis(
                        getRemainingMillis(), context.random().getAsDouble()));
    }

    /** Starts an exchange with a worker, which releases the slot when it ends. */
    private void send(ListedWorker worker, ReservationService.Reservation slot, String detail) {
        attempts++;
        exchanges++;
        excludedWorkers.add(worker.id());
        logChoice(
                "plain",
                worker,
                "attempt=" + attempts + " requests="
                        + context.loadTracker().countRequests(worker.id(), now()) + " expected_millis="
                        + (long) getExpectedMillis(worker) + detail);
        Attempt attempt = new Attempt(context.budget(), slot);
        response.onComplete(attempt::release);
        attempt.exchange = WorkerExchange.start(
                context, request, WorkerRequest.forCompleteRequest(worker, getRemainingMillis()), 0, executor, this);
        activeAttempts.add(attempt);
        unusedSlot = () -> {};
    }

    private void sendHedge() {
        if (activeAttempts.size() == 1 && mayHedge()) {
            trySend(false);
        }
    }

    private boolean mayHedge() {
        return activeAttempts.size() <= 1 && !isRelaying() && isAnotherExecutionAllowed();
    }

    /** Returns whether a part of a response has been sent to the caller, which no other one can replace. */
    private boolean isRelaying() {
        return activeAttempts.stream().anyMatch(a -> a.writer.isPresent());
    }

    @Override
    void reject(Fault fault) {
        if (isRelaying()) {
            abortRelayed(fault.message());
        } else {
            super.reject(fault);
        }
    }

    private boolean isAnotherExecutionAllowed() {
        int executions = possibleExecutions + activeAttempts.size();
        return executions == 0 || retryable && executions < request.route().maxAttempts();
    }

    @Override
    public void onHead(WorkerExchange exchange, int status, Map<String, String> headers) {
        Attempt attempt = getAttempt(exchange);
        attempt.status = status;
        attempt.headers = headers;
    }

    @Override
    public void onBytes(WorkerExchange exchange, byte[] bytes) {
        Attempt attempt = getAttempt(exchange);
        attempt.receivedBytes += bytes.length;
        if (attempt.receivedBytes > MAX_RESPONSE_BYTES) {
            exchange.breakOff("the response is larger than " + MAX_RESPONSE_BYTES + " bytes");
        } else if (attempt.writer.isPresent()) {
            relay(exchange, attempt.writer.get(), bytes);
        } else if (!attempt.collect(bytes)) {
            handleNoRoom(attempt, bytes);
        }
    }

    private void handleNoRoom(Attempt attempt, byte[] bytes) {
        boolean relayed = attempt.status < 500 && mayForward(attempt.status) && activeAttempts.size() == 1;
        log(
                "no_room",
                attempt.exchange,
                "received=" + attempt.receivedBytes + " collected=" + attempt.body.size() + " relayed=" + relayed);
        if (!relayed) {
            attempt.exchange.abandon("no memory for the response");
            return;
        }
        attempt.writer =
                response.beginStream(attempt.status, context.wireFormat().toCallerHeaders(attempt.headers));
        attempt.writer.ifPresent(w -> {
            attempt.body.drainTo(w::writeReplayed);
            relay(attempt.exchange, w, bytes);
        });
    }

    private static void relay(WorkerExchange exchange, StreamWriter writer, byte[] bytes) {
        writer.write(bytes);
        if (writer.isBehind()) {
            exchange.pauseReading();
            writer.whenDrained(exchange::resumeReading);
        }
    }

    @Override
    public void onEnd(WorkerExchange exchange) {
        Attempt attempt = removeAttempt(exchange);
        possibleExecutions++;
        mayHaveRun = true;
        if (attempt.status < 400) {
            // Errors are often faster than the work.
            context.loadTracker()
                    .getSpeeds()
                    .recordPlain(service, exchange.getWorker().id(), exchange.getAgeMillis(), now());
        }
        context.poisonGuard().recordAnswer(features);
        if (attempt.writer.isPresent()) {
            finish("answered", "worker=" + exchange.getWorker().id() + " status=" + attempt.status + " relayed=true");
            attempt.writer.get().end();
            return;
        }
        if (attempt.status < 500 && mayForward(attempt.status)) {
            sendResponse(attempt);
            return;
        }
        log("worker_error", exchange, "status=" + attempt.status);
        if (!mayForward(attempt.status)) {
            retryOrFinish(describeUnprovenRefusal(attempt.status));
            return;
        }
        errorResponse = Optional.of(attempt);
        retryOrFinish("worker responded with status " + attempt.status);
    }

    @Override
    public void onNotRun(WorkerExchange exchange, String reason) {
        removeAttempt(exchange);
        if (WorkerExchange.isUnsent(reason)) {
            exchanges--;
        }
        log("not_run", exchange, "reason=\"" + reason + '"');
        retryOrFinish(reason);
    }

    @Override
    public void onBroken(WorkerExchange exchange, String reason) {
        Attempt attempt = removeAttempt(exchange);
        possibleExecutions++;
        mayHaveRun = true;
        log("broken", exchange, "millis=" + exchange.getAgeMillis() + " reason=\"" + reason + '"');
        if (attempt.writer.isPresent()) {
            abortRelayed(reason);
            return;
        }
        attempt.release();
        retryOrFinish(reason);
    }

    private void retryOrFinish(String reason) {
        retryOrFinish(reason, NO_WORKER_RETRY_AFTER_MILLIS);
    }

    private void retryOrFinish(String reason, long retryAfterMillis) {
        if (ended || !activeAttempts.isEmpty() || isAnotherExecutionAllowed() && trySend(true)) {
            return;
        }
        if (ended) {
            return;
        }
        if (errorResponse.isPresent()) {
            sendResponse(errorResponse.get());
            return;
        }
        failWithoutResponse(reason, retryAfterMillis);
    }

    private void sendResponse(Attempt attempt) {
        finish("answered", "worker=" + attempt.exchange.getWorker().id() + " status=" + attempt.status);
        Map<String, String> headers = context.wireFormat().toCallerHeaders(attempt.headers);
        if (attempt.body.size() > SMALL_RESPONSE_BYTES) {
            response.beginStream(attempt.status, headers).ifPresent(w -> {
                attempt.body.drainTo(w::writeReplayed);
                w.end();
            });
            return;
        }
        Optional<byte[]> body = attempt.body.join(attempt.small);
        if (body.isPresent()) {
            response.send(attempt.status, headers, body.get());
        } else {
            response.fail(Fault.unknownOutcome(
                    FaultKind.BACKEND_FAILED,
                    "no memory for the response",
                    "find out whether the work was done before sending it again"));
        }
    }

    /** Closes the caller's connection, since a response that has begun cannot be replaced by an error. */
    private void abortRelayed(String reason) {
        finish("failed", "aborted=true reason=\"" + reason + '"');
        response.abort();
    }

    @Override
    void handleTimeout() {
        if (!mayHaveRun && response.withdrawUnsent()) {
            failWithoutResponse("no worker accepted the request in time", NO_WORKER_RETRY_AFTER_MILLIS);
            return;
        }
        boolean relaying = isRelaying();
        activeAttempts.forEach(a -> a.exchange.cancelAsUnresponsive());
        releaseAttempts();
        if (relaying) {
            abortRelayed("the response was not complete in time");
            return;
        }
        if (errorResponse.isPresent()) {
            sendResponse(errorResponse.get());
            return;
        }
        super.handleTimeout();
    }

    @Override
    void handleExit() {
        if (isRelaying()) {
            return;
        }
        if (errorResponse.isPresent()) {
            sendResponse(errorResponse.get());
            return;
        }
        super.handleExit();
    }

    @Override
    void cancelExchanges() {
        slotRequest.ifPresent(CapacityRequest::withdraw);
        slotRequest = Optional.empty();
        unusedSlot.release();
        activeAttempts.forEach(a -> a.exchange.cancel());
        releaseAttempts();
    }

    private void releaseAttempts() {
        activeAttempts.forEach(a -> a.slot.release());
        activeAttempts.clear();
    }

    private Attempt getAttempt(WorkerExchange exchange) {
        return activeAttempts.stream()
                .filter(a -> a.exchange == exchange)
                .findFirst()
                .orElseThrow();
    }

    private Attempt removeAttempt(WorkerExchange exchange) {
        Attempt attempt = getAttempt(exchange);
        activeAttempts.remove(attempt);
        attempt.slot.release();
        return attempt;
    }

    private static final class Attempt {
        private final BudgetedBuffer body = BudgetedBuffer.create();
        private final Allocation small;
        private final Allocation large;
        private final ReservationService.Reservation slot;
        private WorkerExchange exchange;
        private int status;
        private Map<String, String> headers = Map.of();
        private long receivedBytes;
        private Optional<StreamWriter> writer = Optional.empty();

        Attempt(ByteBudget budget, ReservationService.Reservation slot) {
            this.slot = slot;
            small = budget.open(ByteBudget.Use.RESPONSE);
            large = budget.open(ByteBudget.Use.LARGE_RESPONSE);
        }

        boolean collect(byte[] bytes) {
            boolean fits = body.size() + bytes.length <= SMALL_RESPONSE_BYTES;
            return body.append(bytes, 0, bytes.length, fits ? small : large);
        }

        void release() {
            small.close();
            large.close();
        }
    }
}
