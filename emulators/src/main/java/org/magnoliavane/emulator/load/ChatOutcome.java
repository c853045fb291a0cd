package org.magnoliavane.emulator.load;

import java.util.Locale;

/** Ways in which a chat ends, from the view of its caller. */
public enum ChatOutcome {
    /** The whole answer arrived, each token once. */
    COMPLETE,
    /** The answer ended although tokens are missing. */
    LOST,
    /** A token arrived more than once, or the answer was too long. */
    DOUBLED,
    /** A token of another answer arrived. */
    CROSSED,
    /** The answer said that the request did not run. */
    REFUSED,
    /** The answer ended with an error after the request had or may have run. */
    FAILED,
    /** No node gave a final answer before the caller gave up. */
    UNANSWERED,
    /** The caller left, as planned. */
    CANCELLED;

    /**
     * Gets the form used in results.
     *
     * @return the lower-case name
     */
    public String toWire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
