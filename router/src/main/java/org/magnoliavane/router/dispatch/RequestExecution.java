package org.magnoliavane.router.dispatch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.http.SerialExecutor;
import org.magnoliavane.poison.PoisonDecision;
import org.magnoliavane.poison.RequestFeatures;
import org.magnoliavane.routing.RoutingTable;

/**
 * Implements what the executions of plain and streamed requests have in common: deadline, retry budget, error responses and
 * completion.
 *
 * <p>Not thread-safe, except for {@link #start}. Everything else runs on the executor of the request.
 */
abstract class RequestExecution {
    /** Time after which a caller may retry if no worker is listed or reachable. */
    static final long NO_WORKER_RETRY_AFTER_MILLIS = 700;

    /** Largest random time that is added until a worker is open again, so that few callers retry at the same time. */
    private static final long RETRY_SPREAD_MILLIS = 1000;

    /** Time after which a caller may retry if a similar request is under trial; a trial takes about as long. */
    static final long TRIAL_RETRY_AFTER_MILLIS = 1000;

    /** Time after which a caller may retry if the node stops; another node may accept the request at once. */
    private static final long EXIT_RETRY_AFTER_MILLIS = 50;

    private static final Logger LOG = System.getLogger(RequestExecution.class.getName());

    final DispatchContext context;
    final CallerRequest request;
    final String service;
    final CallerResponse response;
    final SerialExecutor executor = SerialExecutor.create(this::handleTaskFailure);

    /** Workers that get the request no more; also read by the threads of the admission queue. */
    final Set<String> excludedWorkers = ConcurrentHashMap.newKeySet();

    /** Whether a worker may have run the request. */
    boolean mayHaveRun;

    /** Number of exchanges that have reached a worker, or may have. */
    int exchanges;

    boolean ended;
    final RequestFeatures features;

    /** What other classes that execute the request need of it. */
    final RequestScope scope;

    private volatile boolean trial;

    RequestExecution(DispatchContext context, CallerRequest request, String service, CallerResponse response) {
        this.context = context;
        this.request = request;
        this.service = service;
        this.response = response;
        this.features = PoisonGuard.getFeatures(request);
        this.scope = new RequestScope(
                context,
                request,
                service,
                features,
                executor,
                excludedWorkers,
                RequestTimers.create(context.timers(), executor));
    }

    /** Starts the execution of the request. */
    final void start() {
        executor.execute(() -> {
            context.retryBudgets().countRequest(service);
            schedule(getRemainingMillis(), this::handleDeadline);
            response.onDisconnect(() -> executor.execute(this::handleDisconnect));
            context.poisonGuard().add(this);
            if (!mayProceed()) {
                return;
            }
            execute();
        });
    }

    abstract void execute();

    /** Returns whether a worker may be running the request, and its answer has not got past its beginning. */
    abstract boolean isBeginning();

    /** Returns whether the answer has got past its beginning. */
    abstract boolean isPastBeginning();

    /**
     * Fails the request and returns false if it has a feature that crashes workers. Called before each exchange, since the
     * feature may be convicted while the request waits.
     */
    public final boolean mayProceed() {
        if (trial || !context.poisonGuard().isConvicted(features)) {
            return !ended;
        }
        PoisonDecision decision = context.poisonGuard().decide(features);
        LOG.log(
                Level.INFO,
                "event=poison_decision request={0} decision={1} feature={2} crashes={3} age_millis={4}",
                request.getId(),
                decision.kind(),
                Long.toHexString(decision.feature()),
                decision.crashes(),
                Long.toString(decision.ageMillis()));
        trial = decision.kind() == PoisonDecision.Kind.TRIAL;
        if (!decision.maySend()) {
            reject(toFault(decision));
        }
        return !ended;
    }

    /** Returns whether the request may still be sent to a worker; called on any thread. */
    public final boolean maySend() {
        return (trial || !context.poisonGuard().isConvicted(features)) && response.permitSending();
    }

    /** Ends a request that must not be sent to a worker. */
    void reject(Fault fault) {
        fail(fault);
    }

    /** Checks a request that is under way again because a feature was convicted. */
    final void handleConviction() {
        executor.execute(() -> {
            if (!ended && !isPastBeginning()) {
                mayProceed();
            }
        });
    }

    private Fault toFault(PoisonDecision decision) {
        if (decision.kind() == PoisonDecision.Kind.WAIT && !mayHaveRun && !isBeginning()) {
            return Fault.notRun(
                            FaultKind.UNAVAILABLE,
                            "a similar request is being tried, because workers crashed",
                            "send the request again after the stated time")
                    .withRetryAfterMillis(TRIAL_RETRY_AFTER_MILLIS);
        }
        String reason = "a part of this request was present when " + decision.crashes() + " workers crashed";
        String remedy = "change the request; operators: look for feature " + Long.toHexString(decision.feature())
                + " in the routers' logs";
        return mayHaveRun || isBeginning()
                ? Fault.unknownOutcome(FaultKind.POISON, reason, remedy)
                : Fault.notRun(FaultKind.POISON, reason, remedy);
    }

    /** Cancels all open exchanges with workers. */
    abstract void cancelExchanges();

    final long now() {
        return scope.now();
    }

    final long getRemainingMillis() {
        return scope.getRemainingMillis();
    }

    /** Acquires an exchange from the retry budget; the first exchange is not limited. */
    final boolean tryAcquireExchange() {
        return exchanges == 0 || context.retryBudgets().tryAcquire(service);
    }

    final void schedule(long millis, Runnable task) {
        scope.schedule(millis, task);
    }

    private long getRetryAfterMillis(long defaultMillis) {
        return getRetryAfterMillis(context, service, this::isEligible, defaultMillis);
    }

    /** Gets the time after which a caller may retry: when the first worker is open again, if all are closed. */
    static long getRetryAfterMillis(
            DispatchContext context, String service, Predicate<ListedWorker> eligible, long defaultMillis) {
        OptionalLong closedMillis = context.loadTracker()
                .getNotices()
                .findAllClosedMillis(
                        context.routingState().getWorkers(service).stream()
                                .filter(eligible)
                                .toList(),
                        context.clockMillis().getAsLong());
        return closedMillis.isPresent()
                ? closedMillis.getAsLong()
                        + (long) (RETRY_SPREAD_MILLIS * context.random().getAsDouble())
                : defaultMillis;
    }

    /**
     * Returns whether a status that a worker has given without stating that it did not run the request may be forwarded: some
     * statuses state that to the caller.
     */
    final boolean mayForward(int status) {
        return request.route().isRetryable() || !context.wireFormat().statesNotRun(status);
    }

    static String describeUnprovenRefusal(int status) {
        return "worker responded with status " + status + " and did not state that it did not run the request";
    }

    /** Returns whether the role of a worker allows it to answer the request. */
    abstract boolean isEligible(ListedWorker worker);

    /** Fails the request, and states that it did not run if that is certain. */
    final void failWithoutResponse(String reason, long retryAfterMillis) {
        if (mayHaveRun) {
            fail(Fault.unknownOutcome(
                    FaultKind.BACKEND_FAILED, reason, "find out whether the work was done before sending it again"));
            return;
        }
        fail(Fault.notRun(FaultKind.UNAVAILABLE, reason, "send the request again after the stated time")
                .withRetryAfterMillis(getRetryAfterMillis(retryAfterMillis)));
    }

    final void fail(Fault fault) {
        if (ended) {
            return;
        }
        finish("failed", fault.kind().toWire() + " ran=" + fault.ran() + " reason=\"" + fault.message() + '"');
        response.fail(fault);
    }

    final void finish(String outcome, String detail) {
        ended = true;
        scope.timers().cancelAll();
        try {
            cancelExchanges();
        } finally {
            context.poisonGuard().remove(this);
            if (trial) {
                context.poisonGuard().endTrial(features);
            }
        }
        long millis = now() - request.arrivalMillis();
        context.metrics().counter("requests." + outcome).inc();
        context.metrics().histogram("requests.millis." + outcome).update(millis);
        LOG.log(
                Level.INFO,
                "event=end request={0} route={1} outcome={2} millis={3} sends={4} version={5} {6}",
                request.getId(),
                request.route().name(),
                outcome,
                Long.toString(millis),
                exchanges,
                Long.toString(request.configurationVersion()),
                describeNewerVersion() + detail);
    }

    /** Formats the version of the configuration in force if it is not the one that the request was routed by. */
    private String describeNewerVersion() {
        return context.routingState()
                .getRoutingTable()
                .map(RoutingTable::getVersion)
                .filter(v -> v != request.configurationVersion())
                .map(v -> "version_in_force=" + v + ' ')
                .orElse("");
    }

    final void log(String event, WorkerExchange exchange, String detail) {
        scope.log(event, exchange, detail);
    }

    final void log(String event, ListedWorker worker, String detail) {
        scope.log(event, worker, detail);
    }

    /** Logs the choice of a worker with its measured speed and the age of the list from which it was chosen. */
    final void logChoice(String event, ListedWorker worker, String detail) {
        scope.logChoice(event, worker, detail);
    }

    /** Logs that the request is refused at once because it could not be served in time. */
    final void logRefusal(String cause, String detail) {
        LOG.log(Level.INFO, "event=refused request={0} cause={1} {2}", request.getId(), cause, detail);
    }

    private void handleDeadline() {
        if (ended) {
            return;
        }
        if (exchanges == 0 && !mayHaveRun) {
            failWithoutResponse("no worker could accept the request in time", NO_WORKER_RETRY_AFTER_MILLIS);
            return;
        }
        handleTimeout();
    }

    /** Fails a request whose deadline has passed while a worker may be running it. */
    void handleTimeout() {
        fail(Fault.unknownOutcome(
                FaultKind.DEADLINE_EXCEEDED,
                "no response within " + (request.deadlineMillis() - request.arrivalMillis()) + " ms",
                "find out whether the work was done before sending it again"));
    }

    /** Answers the request if it has no response yet, because the process is about to end. */
    final void answerBeforeExit() {
        executor.execute(() -> {
            if (!ended) {
                handleExit();
            }
        });
    }

    void handleExit() {
        if (mayHaveRun || isBeginning()) {
            fail(Fault.unknownOutcome(
                    FaultKind.DEADLINE_EXCEEDED,
                    "the node stops before the worker has responded",
                    "find out whether the work was done before sending it again"));
            return;
        }
        fail(Fault.notRun(FaultKind.UNAVAILABLE, "the node stops", "send the request to another address")
                .withRetryAfterMillis(EXIT_RETRY_AFTER_MILLIS));
    }

    private void handleDisconnect() {
        if (!ended) {
            finish(response.isExpired() ? "expired" : "caller_gone", "");
        }
    }

    /** Ends a request one of whose tasks ended by an exception or error, which has been logged. */
    private void handleTaskFailure(Throwable failure) {
        Fault fault = Fault.internal(mayHaveRun || exchanges > 0);
        try {
            if (!ended) {
                reject(fault);
            }
        } finally {
            // The failure may have come between the end of the execution and its response.
            response.fail(fault);
            response.abortUnfinishedStream();
        }
    }
}
