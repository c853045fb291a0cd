package org.magnoliavane.node.decision;

/**
 * Records the decisions about one request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param log the log that receives the decisions
 * @param request the id of the request
 */
public record RequestDecisions(DecisionLog log, String request) {

    /**
     * Records a decision, with the current time.
     *
     * @param stage the processing step that made the decision
     * @param considered the candidates
     * @param chosen the chosen candidate or action
     * @param reason the reason for the choice
     */
    public void record(String stage, String considered, String chosen, String reason) {
        log.record(new Decision(System.currentTimeMillis(), request, stage, considered, chosen, reason));
    }
}
