package org.magnoliavane.node.log;

import java.io.IOException;

/**
 * Thrown when the log service did not respond or rejected a request.
 */
public final class LogUnavailableException extends IOException {
    private static final long serialVersionUID = 1L;

    private final boolean outcomeUnknown;

    /**
     * Creates the exception.
     *
     * @param message the failure and its remedy
     * @param outcomeUnknown true if an append may have taken effect
     * @param cause the cause, or null if there is none
     */
    public LogUnavailableException(String message, boolean outcomeUnknown, Throwable cause) {
        super(message, cause);
        this.outcomeUnknown = outcomeUnknown;
    }

    /**
     * Returns whether an append may have taken effect although it failed.
     *
     * @return true if only reading the stream shows whether the record was appended
     */
    public boolean isOutcomeUnknown() {
        return outcomeUnknown;
    }
}
