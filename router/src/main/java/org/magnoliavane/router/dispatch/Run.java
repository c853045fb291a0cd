package org.magnoliavane.router.dispatch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.http.SerialExecutor;

/** What the runs of plain and of streamed requests share: time limit, budget, refusals, the end. */
abstract class Run implements WorkerSend.Listener {
    /** Time after which a caller may come back when no worker is listed or reachable. */
    static final long NO_WORKER_RETRY_MILLIS = 700;

    private static final Logger LOG = System.getLogger(Run.class.getName());

    final DispatchContext parts;
    final CallerRequest call;
    final String service;
    final CallerResponse answer;
    final SerialExecutor serial = SerialExecutor.create();
    final Set<String> excluded = new HashSet<>();

    /** True once a worker may have run the request. */
    boolean mayHaveRun;

    /** Number of sends that arrived at a worker or may have. */
    int sends;

    boolean ended;
    private Future<?> limit;

    Run(DispatchContext parts, CallerRequest call, String service, CallerResponse answer) {
        this.parts = parts;
        this.call = call;
        this.service = service;
        this.answer = answer;
    }

    /** Starts to work on the request. */
    final void start() {
        serial.execute(() -> {
            parts.budgets().countRequest(service);
            limit = parts.timers()
                    .schedule(
                            () -> serial.execute(this::limitReached),
                            Math.max(0, call.deadlineMillis() - now()),
                            TimeUnit.MILLISECONDS);
            answer.onDisconnect(() -> serial.execute(this::callerGone));
            if (parts.crashes().isRefused(ContentHash.of(call))) {
                fail(Fault.notRun(
                        FaultKind.POISON,
                        "this request has crashed " + parts.crashes().countCrashes(ContentHash.of(call)) + " workers",
                        "change the request; operators: look for its content in the workers' logs"));
                return;
            }
            begin();
        });
    }

    abstract void begin();

    /** Closes what is open towards workers. */
    abstract void cancelSends();

    final long now() {
        return parts.millis().getAsLong();
    }

    final long remainingMillis() {
        return call.deadlineMillis() - now();
    }

    /** Takes an extra send from the budget; the first send is free. */
    final boolean mayAddSend() {
        return sends == 0 || parts.budgets().tryTake(service);
    }

    final void after(long millis, Runnable task) {
        parts.timers()
                .schedule(
                        () -> serial.execute(() -> {
                            if (!ended) {
                                task.run();
                            }
                        }),
                        Math.max(0, millis),
                        TimeUnit.MILLISECONDS);
    }

    /** Refuses the request, truthfully as not run where that is certain. */
    final void giveUp(String reason, long retryAfterMillis) {
        if (mayHaveRun) {
            fail(Fault.unknownOutcome(
                    FaultKind.BACKEND_FAILED, reason, "find out whether the work was done before sending it again"));
            return;
        }
        fail(Fault.notRun(FaultKind.UNAVAILABLE, reason, "send the request again after the stated time")
                .withRetryAfterMillis(retryAfterMillis));
    }

    final void fail(Fault fault) {
        if (ended) {
            return;
        }
        end("failed", fault.kind().toWire() + " ran=" + fault.ran() + " reason=\"" + fault.message() + '"');
        answer.fail(fault);
    }

    final void end(String outcome, String detail) {
        ended = true;
        if (limit != null) {
            limit.cancel(false);
        }
        cancelSends();
        long millis = now() - call.arrivalMillis();
        parts.metrics().counter("requests." + outcome).inc();
        parts.metrics().histogram("requests.millis." + outcome).update(millis);
        LOG.log(
                Level.INFO,
                "event=end request={0} route={1} outcome={2} millis={3} sends={4} version={5} {6}",
                call.getId(),
                call.route().name(),
                outcome,
                Long.toString(millis),
                sends,
                Long.toString(call.configurationVersion()),
                detail);
    }

    final void log(String event, WorkerSend send, String detail) {
        log(event, send.worker(), detail);
    }

    final void log(String event, ListedWorker worker, String detail) {
        LOG.log(Level.INFO, "event={0} request={1} worker={2} {3}", event, call.getId(), worker.id(), detail);
    }

    private void limitReached() {
        if (ended) {
            return;
        }
        if (sends == 0 && !mayHaveRun) {
            giveUp("no worker could take the request in time", NO_WORKER_RETRY_MILLIS);
            return;
        }
        timeOut();
    }

    /** Ends a request whose time is up while a worker has it. */
    void timeOut() {
        fail(Fault.unknownOutcome(
                FaultKind.DEADLINE_EXCEEDED,
                "no answer within " + (call.deadlineMillis() - call.arrivalMillis()) + " ms",
                "find out whether the work was done before sending it again"));
    }

    private void callerGone() {
        if (!ended) {
            end("caller_gone", "");
        }
    }
}
