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
final class PlainRun extends Run {
    /** Largest number of workers that are tried when none of them runs the request. */
    private static final int MAX_TRIES = 4;

    /** Share of the time limit after which an idempotent request is also sent to a second worker. */
    private static final double HEDGE_SHARE = 0.45;

    private final boolean repeatable;
    private final List<Attempt> open = new ArrayList<>();
    private Optional<Attempt> errorAnswer = Optional.empty();
    private int tries;
    private int mayHaveRunOn;

    PlainRun(DispatchContext parts, CallerRequest call, String service, CallerResponse answer) {
        super(parts, call, service, answer);
        this.repeatable = call.route().isRetryable();
    }

    @Override
    void begin() {
        if (!trySend()) {
            giveUp("no worker of service " + service + " is available", NO_WORKER_RETRY_MILLIS);
            return;
        }
        if (repeatable) {
            after((long) (remainingMillis() * HEDGE_SHARE), this::hedge);
        }
    }

    private boolean trySend() {
        if (tries >= MAX_TRIES || remainingMillis() <= 0) {
            return false;
        }
        Optional<ListedWorker> worker =
                parts.placement().choosePlain(parts.fleet().getWorkers(service), excluded, now());
        if (worker.isEmpty() || !mayAddSend()) {
            return false;
        }
        tries++;
        sends++;
        excluded.add(worker.get().id());
        Attempt attempt = new Attempt();
        open.add(attempt);
        attempt.send = WorkerSend.start(
                parts, call, WorkerRequest.forCompleteRequest(worker.get(), remainingMillis()), 0, serial, this);
        return true;
    }

    private void hedge() {
        if (open.size() == 1 && mayRunAgain()) {
            trySend();
        }
    }

    private boolean mayRunAgain() {
        int mayRunOn = mayHaveRunOn + open.size();
        return mayRunOn == 0 || repeatable && mayRunOn < call.route().maxAttempts();
    }

    @Override
    public void onHead(WorkerSend send, int status, Map<String, String> headers) {
        Attempt attempt = find(send);
        attempt.status = status;
        attempt.headers = headers;
    }

    @Override
    public void onBytes(WorkerSend send, byte[] bytes) {
        find(send).body.writeBytes(bytes);
    }

    @Override
    public void onEnd(WorkerSend send) {
        Attempt attempt = remove(send);
        mayHaveRunOn++;
        mayHaveRun = true;
        if (attempt.status < 500) {
            deliver(attempt);
            return;
        }
        log("worker_error", send, "status=" + attempt.status);
        errorAnswer = Optional.of(attempt);
        goOn("worker answered " + attempt.status);
    }

    @Override
    public void onNotRun(WorkerSend send, String reason) {
        remove(send);
        if (reason.equals(WorkerSend.UNREACHABLE)) {
            sends--;
        }
        log("not_run", send, "reason=\"" + reason + '"');
        goOn(reason);
    }

    @Override
    public void onBroken(WorkerSend send, String reason) {
        remove(send);
        mayHaveRunOn++;
        mayHaveRun = true;
        log("broken", send, "millis=" + send.getAgeMillis() + " reason=\"" + reason + '"');
        goOn(reason);
    }

    private void goOn(String reason) {
        if (ended || !open.isEmpty() || mayRunAgain() && trySend()) {
            return;
        }
        if (errorAnswer.isPresent()) {
            deliver(errorAnswer.get());
            return;
        }
        giveUp(reason, NO_WORKER_RETRY_MILLIS);
    }

    private void deliver(Attempt attempt) {
        end("answered", "worker=" + attempt.send.worker().id() + " status=" + attempt.status);
        answer.send(attempt.status, parts.wire().toCallerHeaders(attempt.headers), attempt.body.toByteArray());
    }

    @Override
    void timeOut() {
        open.forEach(a -> a.send.cancelAsSilent());
        open.clear();
        if (errorAnswer.isPresent()) {
            deliver(errorAnswer.get());
            return;
        }
        super.timeOut();
    }

    @Override
    void cancelSends() {
        open.forEach(a -> a.send.cancel());
        open.clear();
    }

    private Attempt find(WorkerSend send) {
        return open.stream().filter(a -> a.send == send).findFirst().orElseThrow();
    }

    private Attempt remove(WorkerSend send) {
        Attempt attempt = find(send);
        open.remove(attempt);
        return attempt;
    }

    private static final class Attempt {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private WorkerSend send;
        private int status;
        private Map<String, String> headers = Map.of();
    }
}
