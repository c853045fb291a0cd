package org.magnoliavane.node.placement;

import org.magnoliavane.NodeRun;
import org.magnoliavane.pool.AttemptPhase;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;

/**
 * Holds the state of one attempt at the coordinator of its pool.
 *
 * <p>Not thread-safe. Times are microseconds of one monotonic clock.
 */
final class PoolAttempt {

    /** State of an attempt at its coordinator. */
    enum State {
        /**
         * Waits at the coordinator; the scheduler does not have it, for example because its content must not run now.
         */
        PENDING,
        /** Waits in the scheduler. */
        OFFERED,
        /** Placed in isolation; its workers are probed before its node receives the placement. */
        PROBING,
        /** Placed and owned by its node. */
        STARTED
    }

    final PlacementRequest request;
    final NodeRun run;
    final long arrivedMicros;
    PlacementListener listener;
    State state = State.PENDING;
    boolean isolated;

    /** True while attempts with the same content wait for this one. */
    boolean blocksCopies;

    /** True when its node was lost; the engines may continue the attempt. */
    boolean ownerLost;

    Grant grant;
    long grantedMicros;
    long prefilledMicros = Long.MAX_VALUE;
    long endedMicros = Long.MAX_VALUE;
    AttemptProgress progress;

    PoolAttempt(PlacementRequest request, NodeRun run, PlacementListener listener, long arrivedMicros) {
        this.request = request;
        this.run = run;
        this.listener = listener;
        this.arrivedMicros = arrivedMicros;
    }

    /** Gets the id of the attempt. */
    String getId() {
        return request.attempt();
    }

    /** Returns whether the attempt is in the scheduler or placed. */
    boolean isActive() {
        return state != State.PENDING;
    }

    boolean isStarted() {
        return state == State.STARTED;
    }

    /** Returns whether a worker may be running the attempt, according to its last progress report. */
    boolean mayRunOn(String worker) {
        if (grant == null) {
            return false;
        }
        boolean prefill = grant.placement().prefillWorker().id().equals(worker);
        boolean decode = grant.placement().decodeWorker().id().equals(worker);
        if (progress == null) {
            return prefill;
        }
        return switch (progress.phase()) {
            case PREFILLED, TRANSFER_FAILED -> prefill || decode;
            case PREFILL_FAILED -> prefill;
            case CANCELLED -> prefill || decode;
            default -> decode;
        };
    }

    /** Creates the request for the scheduler, with the time waited so far subtracted. */
    PlacementRequest toSchedulerRequest(long nowMicros) {
        return PlacementRequests.subtractWait(request, (nowMicros - arrivedMicros) / 1000, isolated);
    }

    /** Gets the last progress report; its phase is null when there was none. */
    AttemptProgress getLastProgress() {
        return progress == null ? new AttemptProgress(getId(), null, 0, 0) : progress;
    }

    boolean isCompleted() {
        return progress != null && progress.phase() == AttemptPhase.COMPLETED;
    }
}
