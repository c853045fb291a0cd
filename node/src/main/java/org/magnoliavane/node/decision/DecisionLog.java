package org.magnoliavane.node.decision;

import java.util.List;

/**
 * Writes one log line for each decision and keeps the newest for {@code explain}.
 *
 * <p>Implementations are thread-safe.
 */
public interface DecisionLog {

    /**
     * Records a decision.
     *
     * @param decision the decision
     */
    void record(Decision decision);

    /**
     * Finds the decisions about a request that are still kept.
     *
     * @param request the id of the request
     * @return the decisions, oldest first; empty when none are kept
     */
    List<Decision> find(String request);
}
