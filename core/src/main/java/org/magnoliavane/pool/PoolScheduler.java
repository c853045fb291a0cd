package org.magnoliavane.pool;

import java.util.List;
import java.util.OptionalLong;

/**
 * Decides admission, order and placement for the workers of one pool.
 *
 * <p>Implementations are deterministic, do no input or output, and are not thread-safe. Times are readings of one
 * monotonic clock in microseconds and never go back. Every request that was offered gets exactly one
 * {@link SchedulerDecision.Start} or {@link SchedulerDecision.Refuse}, unless it was withdrawn first.
 */
public interface PoolScheduler {

    /**
     * Takes a new request.
     *
     * @param request the request
     * @param nowMicros the current time
     */
    void offer(PlacementRequest request, long nowMicros);

    /**
     * Takes a report on an attempt. A report on an unknown attempt is ignored.
     *
     * @param progress the report
     * @param nowMicros the current time
     */
    void updateProgress(AttemptProgress progress, long nowMicros);

    /**
     * Forgets an attempt whose caller is gone, whether it waits or runs, and frees what it holds.
     *
     * @param attempt the id of the attempt
     * @param nowMicros the current time
     */
    void withdraw(String attempt, long nowMicros);

    /**
     * Replaces the list of workers. Work on a worker that is no longer listed counts as lost.
     *
     * @param workers the workers
     * @param nowMicros the current time
     */
    void updateWorkers(List<PoolWorker> workers, long nowMicros);

    /**
     * Takes a load report of an engine.
     *
     * @param load the report
     * @param nowMicros the current time
     */
    void updateLoad(WorkerLoad load, long nowMicros);

    /**
     * Takes over an attempt that another scheduler of this pool started.
     *
     * @param request the request, as it was offered
     * @param start the decision of the other scheduler
     * @param progress the newest report on the attempt; its phase is null while the prefill is not done
     * @param nowMicros the current time
     */
    void adopt(PlacementRequest request, SchedulerDecision.Start start, AttemptProgress progress, long nowMicros);

    /**
     * Takes the decisions that are due.
     *
     * @param nowMicros the current time
     * @return the decisions, in order; empty when nothing is due
     */
    List<SchedulerDecision> decide(long nowMicros);

    /**
     * Gets the time at which {@link #decide} must be called again when nothing else happens before.
     *
     * @return the time in microseconds; empty when no timer is set
     */
    OptionalLong getNextWakeMicros();
}
