package org.magnoliavane.node.dispatch;

import java.util.List;

/**
 * Holds a complete answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param tokens the tokens, in order
 * @param end the end
 */
public record FinishedAnswer(List<Token> tokens, AnswerEnd end) {
    /** Rough size of a token in memory, beyond its text. */
    private static final int TOKEN_BYTES = 120;

    /**
     * Sends the answer to a listener.
     *
     * @param listener the listener
     */
    public void replayTo(AnswerListener listener) {
        tokens.forEach(listener::onReplayedToken);
        listener.onEnd(end);
    }

    /**
     * Estimates the memory that the answer takes.
     *
     * @return the size in bytes
     */
    public long estimateBytes() {
        return tokens.stream()
                .mapToLong(t -> TOKEN_BYTES + 2L * t.text().length())
                .sum();
    }
}
