package org.magnoliavane;

import java.util.Locale;

/**
 * Execution status of a request at a backend server.
 */
public enum ExecutionStatus {
    /** The request was not executed and never will be. */
    NO,
    /** The request was executed completely. */
    YES,
    /** The request may have been executed. */
    UNKNOWN;

    /**
     * Gets the name used in error bodies.
     *
     * @return the name in lower case
     */
    public String toWire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
