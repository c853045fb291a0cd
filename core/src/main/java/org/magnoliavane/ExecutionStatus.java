package org.magnoliavane;

import java.util.Locale;

/**
 * Says whether the work of a request ran at a backend server.
 */
public enum ExecutionStatus {
    /** The work certainly did not run and never will for this request. */
    NO,
    /** The work ran to its end. */
    YES,
    /** The work may or may not have run. */
    UNKNOWN;

    /**
     * Gets the form used in error bodies.
     *
     * @return the lower-case name
     */
    public String toWire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
