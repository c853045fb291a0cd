package org.magnoliavane.node.decision;

/**
 * Records the decisions about one request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param log the log
 * @param request the id of the request
 */
public record RequestDecisions(DecisionLog log, String request) {

    /**
     * Records a decision that was taken now.
     *
     * @param stage the step that decided
     * @param considered the candidates
     * @param chosen what was chosen
     * @param reason why
     */
    public void record(String stage, String considered, String chosen, String reason) {
        log.record(new Decision(System.currentTimeMillis(), request, stage, considered, chosen, reason));
    }
}
