package org.magnoliavane.node.log;

import java.io.IOException;

/**
 * Says that the log service did not answer, or refused.
 */
public final class LogUnavailableException extends IOException {
    private static final long serialVersionUID = 1L;

    private final boolean outcomeUnknown;

    /**
     * Creates the exception.
     *
     * @param message what happened and what to do
     * @param outcomeUnknown true when an append may have taken effect
     * @param cause the cause; null when there is none
     */
    public LogUnavailableException(String message, boolean outcomeUnknown, Throwable cause) {
        super(message, cause);
        this.outcomeUnknown = outcomeUnknown;
    }

    /**
     * Says whether an append may have taken effect although it failed.
     *
     * @return true when the stream must be read to know
     */
    public boolean isOutcomeUnknown() {
        return outcomeUnknown;
    }
}
