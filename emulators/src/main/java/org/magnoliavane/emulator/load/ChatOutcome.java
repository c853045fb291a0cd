package org.magnoliavane.emulator.load;

import java.util.Locale;

/** Outcomes of a chat, from the view of its caller. */
public enum ChatOutcome {
    /** The complete answer arrived, each token exactly once. */
    COMPLETE,
    /** The answer ended but tokens are missing. */
    LOST,
    /** A token arrived more than once, or the answer was too long. */
    DOUBLED,
    /** A token of another answer arrived, or text that is not a token. */
    CROSSED,
    /** The response says that the request was not executed. */
    REFUSED,
    /** The response ended with an error, and the request was or may have been executed. */
    FAILED,
    /** No node sent a final response before the caller timed out. */
    UNANSWERED,
    /** The caller disconnected as planned. */
    CANCELLED;

    /**
     * Gets the name used in results.
     *
     * @return the name in lower case
     */
    public String toWire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
