package org.magnoliavane.node.dispatch;

import java.util.List;

/**
 * Holds the complete answer to a model request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param tokens the tokens, in order
 * @param end the finish reason and the token counts
 */
public record FinishedAnswer(List<Token> tokens, AnswerEnd end) {
    /** Approximate size of a token in memory without the characters of its text. */
    private static final int TOKEN_BYTES = 120;

    /**
     * Replays the answer to a listener.
     *
     * @param listener the listener
     */
    public void replayTo(AnswerListener listener) {
        tokens.forEach(listener::onReplayedToken);
        listener.onEnd(end);
    }

    /**
     * Estimates the memory used by the answer.
     *
     * @return the size in bytes
     */
    public long estimateBytes() {
        return tokens.stream()
                .mapToLong(t -> TOKEN_BYTES + 2L * t.text().length())
                .sum();
    }
}
