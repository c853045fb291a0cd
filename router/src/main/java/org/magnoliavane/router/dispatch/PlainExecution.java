package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.balance.ListedWorker;

/**
 * Executes a request for a plain service. A request that did not run is retried at another worker; a request that may have
 * run is retried only if it is idempotent.
 */
final class PlainExecution extends RequestExecution {
    /** Largest number of workers to which a request is sent, including those that do not run it. */
    private static final int MAX_ATTEMPTS = 4;

    /** Share of the remaining time after which an idempotent request is also sent to a second worker. */
    private static final double HEDGE_DELAY_SHARE = 0.45;

    /** Largest response; a faulty worker may send bytes without end. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

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
        Attempt attempt = new Attempt();
        activeAttempts.add(attempt);
        attempt.exchange = WorkerExchange.start(
                context,
                request,
                WorkerRequest.forCompleteRequest(worker.get(), getRemainingMillis()),
                0,
                executor,
                this);
        return true;
    }

    private void sendHedge() {
        if (activeAttempts.size() == 1 && isAnotherExecutionAllowed()) {
            trySend();
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
        ByteArrayOutputStream body = getAttempt(exchange).body;
        body.writeBytes(bytes);
        if (body.size() > MAX_RESPONSE_BYTES) {
            exchange.breakOff("the response is larger than " + MAX_RESPONSE_BYTES + " bytes");
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
        if (attempt.status < 500) {
            sendResponse(attempt);
            return;
        }
        log("worker_error", exchange, "status=" + attempt.status);
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
        removeAttempt(exchange);
        possibleExecutions++;
        mayHaveRun = true;
        log("broken", exchange, "millis=" + exchange.getAgeMillis() + " reason=\"" + reason + '"');
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
        response.send(
                attempt.status, context.wireFormat().toCallerHeaders(attempt.headers), attempt.body.toByteArray());
    }

    @Override
    void handleTimeout() {
        activeAttempts.forEach(a -> a.exchange.cancelAsUnresponsive());
        activeAttempts.clear();
        if (errorResponse.isPresent()) {
            sendResponse(errorResponse.get());
            return;
        }
        super.handleTimeout();
    }

    @Override
    void handleExit() {
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
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private WorkerExchange exchange;
        private int status;
        private Map<String, String> headers = Map.of();
    }
}
