package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.balance.ListedWorker;

/**
 * Runs a request for a plain service. A request that did not run goes to another worker; one that may have run does so
 * only when it is idempotent.
 */
final class PlainExecution extends RequestExecution {
    /** Largest number of workers that are tried when none of them runs the request. */
    private static final int MAX_ATTEMPTS = 4;

    /** Share of the time limit after which an idempotent request is also sent to a second worker. */
    private static final double HEDGE_DELAY_SHARE = 0.45;

    private final boolean retryable;
    private final List<Attempt> activeAttempts = new ArrayList<>();
    private Optional<Attempt> errorResponse = Optional.empty();
    private int attempts;
    private int possibleExecutions;

    PlainExecution(DispatchParts parts, CallerCall call, String service, CallerAnswer answer) {
        super(parts, call, service, answer);
        this.retryable = call.route().isRepeatable();
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

    private boolean trySend() {
        if (attempts >= MAX_ATTEMPTS || getRemainingMillis() <= 0) {
            return false;
        }
        Optional<ListedWorker> worker = context.workerSelector()
                .choosePlain(context.clusterState().getWorkers(service), excludedWorkers, now());
        if (worker.isEmpty() || !tryAcquireExchange()) {
            return false;
        }
        attempts++;
        exchanges++;
        excludedWorkers.add(worker.get().id());
        Attempt attempt = new Attempt();
        activeAttempts.add(attempt);
        attempt.exchange = WorkerExchange.start(
                context, request, WorkerCall.whole(worker.get(), getRemainingMillis()), 0, executor, this);
        return true;
    }

    private void sendHedge() {
        if (activeAttempts.size() == 1 && isAnotherExecutionAllowed()) {
            trySend();
        }
    }

    private boolean isAnotherExecutionAllowed() {
        int mayRunOn = possibleExecutions + activeAttempts.size();
        return mayRunOn == 0 || retryable && mayRunOn < request.route().maxAttempts();
    }

    @Override
    public void onHead(WorkerExchange send, int status, Map<String, String> headers) {
        Attempt attempt = getAttempt(send);
        attempt.status = status;
        attempt.headers = headers;
    }

    @Override
    public void onBytes(WorkerExchange send, byte[] bytes) {
        getAttempt(send).body.writeBytes(bytes);
    }

    @Override
    public void onEnd(WorkerExchange send) {
        Attempt attempt = removeAttempt(send);
        possibleExecutions++;
        mayHaveRun = true;
        if (attempt.status < 500) {
            sendResponse(attempt);
            return;
        }
        log("worker_error", send, "status=" + attempt.status);
        errorResponse = Optional.of(attempt);
        retryOrFinish("worker answered " + attempt.status);
    }

    @Override
    public void onNotRun(WorkerExchange send, String reason) {
        removeAttempt(send);
        if (reason.equals(WorkerExchange.UNREACHABLE)) {
            exchanges--;
        }
        log("not_run", send, "reason=\"" + reason + '"');
        retryOrFinish(reason);
    }

    @Override
    public void onBroken(WorkerExchange send, String reason) {
        removeAttempt(send);
        possibleExecutions++;
        mayHaveRun = true;
        log("broken", send, "millis=" + send.getAgeMillis() + " reason=\"" + reason + '"');
        retryOrFinish(reason);
    }

    private void retryOrFinish(String reason) {
        if (ended || !activeAttempts.isEmpty() || isAnotherExecutionAllowed() && trySend()) {
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
        response.answer(
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
    void cancelExchanges() {
        activeAttempts.forEach(a -> a.exchange.cancel());
        activeAttempts.clear();
    }

    private Attempt getAttempt(WorkerExchange send) {
        return activeAttempts.stream()
                .filter(a -> a.exchange == send)
                .findFirst()
                .orElseThrow();
    }

    private Attempt removeAttempt(WorkerExchange send) {
        Attempt attempt = getAttempt(send);
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
