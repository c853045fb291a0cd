package org.magnoliavane.router.dispatch;

import java.util.HashSet;
import java.util.Set;

/**
 * Records why workers did not run the decode of a request, so that another one is chosen next.
 *
 * <p>Not thread-safe; called on the executor of the request.
 */
final class WorkerRefusals {
    /** Time for which a worker counts as full after it refused a decode for lack of memory; some of its requests end meanwhile. */
    private static final long FULL_BACKOFF_MILLIS = 120;

    /** Time for which a worker is suspended that refuses a decode although it has free memory. */
    private static final long NOT_DECODING_SUSPEND_MILLIS = 1500;

    private final RequestScope scope;

    /** Excluded workers that accepted no connection. */
    private final Set<String> unreachableWorkers = new HashSet<>();

    WorkerRefusals(RequestScope scope) {
        this.scope = scope;
    }

    /**
     * Records a refusal.
     *
     * @param reason the reason of {@link WorkerExchange.Listener#onNotRun}
     * @param hadAmpleMemory whether the worker cannot have been full
     */
    void record(WorkerExchange exchange, String reason, boolean hadAmpleMemory) {
        String workerId = exchange.getWorker().id();
        if (reason.equals(WorkerExchange.REFUSED) && hadAmpleMemory) {
            // A worker with free memory that refuses every request does not decode, for example during a role change.
            scope.excludedWorkers().add(workerId);
            scope.context().loadTracker().suspend(workerId, scope.now() + NOT_DECODING_SUSPEND_MILLIS);
        } else if (reason.equals(WorkerExchange.REFUSED)) {
            scope.context().loadTracker().markFull(workerId, scope.now() + FULL_BACKOFF_MILLIS);
        } else if (!isClosed(reason)) {
            scope.excludedWorkers().add(workerId);
            if (reason.equals(WorkerExchange.UNREACHABLE)) {
                unreachableWorkers.add(workerId);
            }
        }
    }

    /** Returns whether the worker wants no requests yet, so that the request can wait for it. */
    private static boolean isClosed(String reason) {
        return reason.equals(WorkerExchange.REFUSED_FOR_SOME_TIME) || reason.equals(WorkerExchange.CLOSED);
    }

    /** Returns whether a worker is excluded only because it accepted no connection. */
    boolean hasUnreachable() {
        return !unreachableWorkers.isEmpty();
    }

    /** Permits the workers again that accepted no connection. */
    void permitUnreachable() {
        scope.excludedWorkers().removeAll(unreachableWorkers);
        unreachableWorkers.clear();
    }
}
