package org.magnoliavane.pool;

import java.util.List;
import java.util.OptionalLong;

/**
 * Decides on the admission, order and placement of requests for the workers of one pool.
 *
 * <p>Implementations are deterministic, perform no I/O and are not thread-safe. Times are readings of one monotonic
 * clock in microseconds and never decrease. Every offered request gets exactly one {@link SchedulerDecision.Start} or
 * {@link SchedulerDecision.Refuse}, unless it is withdrawn first.
 */
public interface PoolScheduler {

    /**
     * Submits a new request.
     *
     * @param request the request
     * @param nowMicros the current time in microseconds
     */
    void offer(PlacementRequest request, long nowMicros);

    /**
     * Applies a progress report of an attempt. A report on an unknown attempt is ignored.
     *
     * @param progress the report
     * @param nowMicros the current time in microseconds
     */
    void updateProgress(AttemptProgress progress, long nowMicros);

    /**
     * Removes a queued or running attempt whose caller has disconnected, and releases its resources.
     *
     * @param attempt the id of the attempt
     * @param nowMicros the current time in microseconds
     */
    void withdraw(String attempt, long nowMicros);

    /**
     * Replaces the list of workers. Attempts that need a worker that is no longer listed count as lost.
     *
     * @param workers the workers
     * @param nowMicros the current time in microseconds
     */
    void updateWorkers(List<PoolWorker> workers, long nowMicros);

    /**
     * Applies a load report of an engine.
     *
     * @param load the report
     * @param nowMicros the current time in microseconds
     */
    void updateLoad(WorkerLoad load, long nowMicros);

    /**
     * Adopts an attempt that another scheduler of this pool started.
     *
     * @param request the request, as it was offered
     * @param start the decision of the other scheduler
     * @param progress the latest report on the attempt; its phase is null while the prefill is not done
     * @param nowMicros the current time in microseconds
     */
    void adopt(PlacementRequest request, SchedulerDecision.Start start, AttemptProgress progress, long nowMicros);

    /**
     * Makes the decisions that are due.
     *
     * @param nowMicros the current time in microseconds
     * @return the decisions, in order; empty when nothing is due
     */
    List<SchedulerDecision> decide(long nowMicros);

    /**
     * Gets the wakeup time, at which {@link #decide} must be called again if no other event occurs first.
     *
     * @return the time in microseconds; empty when no timer is needed
     */
    OptionalLong getNextWakeMicros();
}
