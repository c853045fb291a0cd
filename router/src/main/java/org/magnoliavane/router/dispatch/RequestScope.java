package org.magnoliavane.router.dispatch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Set;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.http.SerialExecutor;
import org.magnoliavane.poison.RequestFeatures;

/**
 * Holds what the classes that execute one request share: the request, the dependencies, the clock, timers and log lines.
 *
 * <p>Thread-safe; called on any thread.
 *
 * @param context the dependencies
 * @param request the request
 * @param service the name of the service
 * @param features the features of the request that may crash workers
 * @param executor runs everything that is not thread-safe of the request
 * @param excludedWorkers the ids of workers that get the request no more; may be changed on any thread
 * @param timers the timers of the request, which end with its execution
 */
record RequestScope(
        DispatchContext context,
        CallerRequest request,
        String service,
        RequestFeatures features,
        SerialExecutor executor,
        Set<String> excludedWorkers,
        RequestTimers timers) {

    /** The lines of all classes of an execution have one logger, by which operators filter them. */
    private static final Logger LOG = System.getLogger(RequestExecution.class.getName());

    long now() {
        return context.clockMillis().getAsLong();
    }

    /** Gets the time until the deadline of the request, in milliseconds. */
    long getRemainingMillis() {
        return request.deadlineMillis() - now();
    }

    /** Runs a task on the executor after a time, unless the execution has ended by then. */
    void schedule(long millis, Runnable task) {
        timers.schedule(millis, task);
    }

    /** Acquires an exchange from the retry budget of the service. */
    boolean tryAcquireRetry() {
        return context.retryBudgets().tryAcquire(service);
    }

    void log(String event, WorkerExchange exchange, String detail) {
        log(event, exchange.getWorker(), detail);
    }

    void log(String event, ListedWorker worker, String detail) {
        LOG.log(Level.INFO, "event={0} request={1} worker={2} {3}", event, request.getId(), worker.id(), detail);
    }

    /** Logs the choice of a worker with its measured speed and the age of the list from which it was chosen. */
    void logChoice(String event, ListedWorker worker, String detail) {
        log(
                event,
                worker,
                detail + " speed_percent="
                        + Math.round(100 * context.loadTracker().getSpeeds().getSpeed(worker.id(), now()))
                        + " list_millis=" + context.workerListAgeMillis().getAsLong());
    }

    /** Logs that a worker did not run a streamed request. */
    void logNotRun(WorkerExchange exchange, String reason) {
        log("not_run", exchange, "prefill=" + exchange.getWorkerRequest().prefillOnly() + " reason=\"" + reason + '"');
    }

    /** Logs that a streamed request broke off at a worker. */
    void logBroken(WorkerExchange exchange, String reason) {
        log(
                "broken",
                exchange,
                "prefill=" + exchange.getWorkerRequest().prefillOnly() + " millis=" + exchange.getAgeMillis()
                        + " body_millis=" + exchange.getBodyMillis() + " parts="
                        + request.metadata().formatSharedParts() + " reason=\"" + reason + '"');
    }
}
