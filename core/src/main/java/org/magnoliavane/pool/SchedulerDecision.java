package org.magnoliavane.pool;

import org.magnoliavane.FaultKind;

/**
 * Represents a decision on one attempt, with an explanation for the decision log.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public sealed interface SchedulerDecision {

    /**
     * Gets the id of the attempt.
     *
     * @return the id
     */
    String attempt();

    /**
     * Gets the explanation for the decision log: the candidates and the reason.
     *
     * @return one line of text
     */
    String explanation();

    /**
     * Starts the prefill at once, with decode memory reserved.
     *
     * @param attempt the id of the attempt
     * @param prefillWorker the VM id of the prefill worker
     * @param decodeWorker the VM id of the decode worker
     * @param pieces the number of pieces that are reserved at the decode worker
     * @param priority the priority for the engines, 0 (lowest) to 9
     * @param explanation the candidates and the reason
     */
    record Start(
            String attempt, String prefillWorker, String decodeWorker, int pieces, int priority, String explanation)
            implements SchedulerDecision {}

    /**
     * Refuses the attempt permanently.
     *
     * @param attempt the id of the attempt
     * @param kind the kind of the refusal
     * @param retryAfterMillis the time in milliseconds after which the caller may retry
     * @param explanation the candidates and the reason
     */
    record Refuse(String attempt, FaultKind kind, long retryAfterMillis, String explanation)
            implements SchedulerDecision {}

    /**
     * Terminates a running attempt to release its memory.
     *
     * @param attempt the id of the attempt
     * @param explanation the candidates and the reason
     */
    record End(String attempt, String explanation) implements SchedulerDecision {}
}
