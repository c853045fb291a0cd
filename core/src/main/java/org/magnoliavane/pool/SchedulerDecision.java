package org.magnoliavane.pool;

import org.magnoliavane.FaultKind;

/**
 * Decides about one attempt. Each decision says what was considered and why it was taken, for the decision log.
 */
public sealed interface SchedulerDecision {

    /**
     * Gets the id of the attempt.
     *
     * @return the id
     */
    String attempt();

    /**
     * Gets the candidates and the reason, for the decision log.
     *
     * @return one line of text
     */
    String explanation();

    /**
     * Starts the prefill now, with decode memory reserved.
     *
     * @param attempt the id of the attempt
     * @param prefillWorker the VM id of the prefill worker
     * @param decodeWorker the VM id of the decode worker
     * @param pieces the pieces that are reserved at the decode worker
     * @param priority the priority for the engines, 0 (lowest) to 9
     * @param explanation the candidates and the reason
     */
    record Start(
            String attempt, String prefillWorker, String decodeWorker, int pieces, int priority, String explanation)
            implements SchedulerDecision {}

    /**
     * Refuses the attempt for good.
     *
     * @param attempt the id of the attempt
     * @param kind the kind of the refusal
     * @param retryAfterMillis the time after which the caller may come back
     * @param explanation the candidates and the reason
     */
    record Refuse(String attempt, FaultKind kind, long retryAfterMillis, String explanation)
            implements SchedulerDecision {}

    /**
     * Ends a running attempt to free its memory.
     *
     * @param attempt the id of the attempt
     * @param explanation the candidates and the reason
     */
    record End(String attempt, String explanation) implements SchedulerDecision {}
}
