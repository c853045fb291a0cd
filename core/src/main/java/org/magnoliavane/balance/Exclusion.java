package org.magnoliavane.balance;

import java.util.Locale;

/** Reasons for which a worker may not be chosen for a request. */
public enum Exclusion {
    /** The worker has announced its leaving. */
    LEAVING,
    /** The worker is listed as draining. */
    DRAINING,
    /** The worker wants no requests for some time. */
    CLOSED,
    /** The request must not be sent to the worker again. */
    ALREADY_TRIED,
    /** The worker is suspended or fails often, and another worker is healthy. */
    UNHEALTHY,
    /** The worker has refused a request for lack of capacity, or its reservation owner has. */
    MARKED_FULL,
    /** The free KV cache memory of the worker is too small for the request. */
    NO_FREE_MEMORY,
    /** All slots of the worker are in use. */
    NO_FREE_SLOT,
    /** All connections of this node to the worker are in use. */
    CONNECTIONS_IN_USE,
    /** The worker cannot end the request before its deadline. */
    TOO_SLOW,
    /** Requests of this kind are not sent to workers of this role. */
    ROLE_NOT_USED;

    /**
     * Gets the form in which the reason is reported.
     *
     * @return the name in lower case
     */
    public String toWire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
