package org.magnoliavane.node.dispatch;

import org.magnoliavane.Fault;

/**
 * Receives the answer to a model request. Calls never overlap. The last call is either {@link #onEnd} or
 * {@link #onFault}; a cancelled run makes neither.
 */
public interface AnswerListener {

    /**
     * Receives the next token.
     *
     * @param token the token
     */
    void onToken(Token token);

    /**
     * Receives a token that was generated before this listener was attached.
     *
     * @param token the token
     */
    void onReplayedToken(Token token);

    /**
     * Receives the end of the complete answer.
     *
     * @param end the finish reason and the token counts
     */
    void onEnd(AnswerEnd end);

    /**
     * Receives the fault that ends the answer.
     *
     * @param fault the fault
     */
    void onFault(Fault fault);
}
