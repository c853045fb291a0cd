package org.magnoliavane.node.dispatch;

import org.magnoliavane.Fault;

/**
 * Receives the answer to a model request. Calls never overlap; exactly one of {@link #onEnd} and {@link #onFault} is
 * the last, unless the run is cancelled first.
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
     * Receives the end of a complete answer.
     *
     * @param end the end
     */
    void onEnd(AnswerEnd end);

    /**
     * Receives the fault that ends the answer.
     *
     * @param fault the fault
     */
    void onFault(Fault fault);
}
