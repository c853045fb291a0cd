package org.magnoliavane.router.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.budget.BudgetedBuffer;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.budget.ByteBudget.Allocation;
import org.magnoliavane.http.server.StreamWriter;

/**
 * Executes a request for a plain service. A request that did not run is retried at another worker; a request that may have
 * run is retried only if it is idempotent.
 *
 * <p>Responses are collected, so that one that breaks off can be replaced by that of another worker. If there is no memory for
 * that, the response is relayed as it is received, unless it is an error or another worker runs the request as well.
 */
final class PlainExecution extends RequestExecution {
    /** Largest number of workers to which a request is sent, including those that do not run it. */
    private static final int MAX_ATTEMPTS = 4;

    /** Share of the remaining time after which an idempotent request is also sent to a second worker. */
    private static final double HEDGE_DELAY_SHARE = 0.45;

    /** Largest response; a faulty worker may send bytes without end. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Size up to which responses have a share of the budget of their own. */
    private static final int SMALL_RESPONSE_BYTES = 64 * 1024;

    private final boolean retryable;
    private final List<Attempt> activeAttempts = new ArrayList<>();
    private Optional<Attempt> errorResponse = Optional.empty();
    private int attempts;
    private int possibleExecutions;

    PlainExecution(DispatchContext context, CallerRequest request, String service, CallerResponse response) {
        super(context, request, service, response);
        this.retryable = request.route().isRetryable();
    }

    @Override
    void execute() {
        if (!trySend()) {
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

    private boolean trySend() {
        if (attempts >= MAX_ATTEMPTS || getRemainingMillis() <= 0 || !mayProceed()) {
            return false;
        }
        Optional<ListedWorker> worker = context.workerSelector()
                .choosePlain(context.routingState().getWorkers(service), excludedWorkers, now());
        if (worker.isEmpty() || !tryAcquireExchange()) {
            return false;
        }
        attempts++;
        exchanges++;
        excludedWorkers.add(worker.get().id());
        logChoice(
                "plain",
                worker.get(),
                "attempt=" + attempts + " requests="
                        + context.loadTracker().countRequests(worker.get().id(), now()));
        Attempt attempt = new Attempt(context.budget());
        response.onComplete(attempt::release);
        attempt.exchange = WorkerExchange.start(
                context,
                request,
                WorkerRequest.forCompleteRequest(worker.get(), getRemainingMillis()),
                0,
                executor,
                this);
        activeAttempts.add(attempt);
        return true;
    }

    private void sendHedge() {
        if (activeAttempts.size() == 1 && !isRelaying() && isAnotherExecutionAllowed()) {
            trySend();
        }
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
        if (exchange.isDelimited()) {
            context.poisonGuard().recordAnswer(features);
        } else {
            context.poisonGuard().recordAnswerWithoutLength(features, exchange.getWorker(), false);
        }
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
        if (ended || !activeAttempts.isEmpty() || isAnotherExecutionAllowed() && trySend()) {
            return;
        }
        if (ended) {
            return;
        }
        if (errorResponse.isPresent()) {
            sendResponse(errorResponse.get());
            return;
        }
        failWithoutResponse(reason, NO_WORKER_RETRY_AFTER_MILLIS);
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
        boolean relaying = isRelaying();
        activeAttempts.forEach(a -> a.exchange.cancelAsUnresponsive());
        activeAttempts.clear();
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
        activeAttempts.forEach(a -> a.exchange.cancel());
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
        return attempt;
    }

    private static final class Attempt {
        private final BudgetedBuffer body = BudgetedBuffer.create();
        private final Allocation small;
        private final Allocation large;
        private WorkerExchange exchange;
        private int status;
        private Map<String, String> headers = Map.of();
        private long receivedBytes;
        private Optional<StreamWriter> writer = Optional.empty();

        Attempt(ByteBudget budget) {
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
