package org.magnoliavane.node.placement;

import org.magnoliavane.NodeRun;
import org.magnoliavane.pool.AttemptPhase;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;

/**
 * Holds what the coordinator knows of one attempt.
 *
 * <p>Not thread-safe.
 */
final class PoolAttempt {

    /** States of an attempt at its coordinator. */
    enum State {
        /** It waits here, because its content must not run at present. */
        HELD,
        /** It waits in the scheduler. */
        OFFERED,
        /** It was started alone, and its workers are asked whether they are up before the node is told. */
        CONFIRMING,
        /** The node drives it. */
        STARTED
    }

    final PlacementRequest request;
    final NodeRun run;
    final long arrivedMicros;
    PlacementListener listener;
    State state = State.HELD;
    boolean isolated;

    /** True while copies of its content wait for it. */
    boolean counted;

    /** True when its node was lost: the engines may go on with it. */
    boolean lost;

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

    String getId() {
        return request.attempt();
    }

    boolean isInWork() {
        return state != State.HELD;
    }

    boolean isStarted() {
        return state == State.STARTED;
    }

    boolean isOn(String worker) {
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

    PlacementRequest toOffer(long nowMicros) {
        return Requests.afterWaiting(request, (nowMicros - arrivedMicros) / 1000, isolated);
    }

    /** Gets the newest report; its phase is null when there was none. */
    AttemptProgress getReport() {
        return progress == null ? new AttemptProgress(getId(), null, 0, 0) : progress;
    }

    boolean isCompleted() {
        return progress != null && progress.phase() == AttemptPhase.COMPLETED;
    }
}
