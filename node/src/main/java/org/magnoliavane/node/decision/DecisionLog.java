package org.magnoliavane.node.decision;

import java.util.List;

/**
 * Logs decisions and retains the most recent ones for the command {@code explain}.
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
     * Finds the retained decisions about a request.
     *
     * @param request the id of the request
     * @return the decisions, oldest first; empty if none is retained
     */
    List<Decision> find(String request);
}
