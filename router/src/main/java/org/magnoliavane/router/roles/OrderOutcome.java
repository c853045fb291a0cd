package org.magnoliavane.router.roles;

/** The outcome of a role order. */
public enum OrderOutcome {
    /** The worker carries out the order or has the role already. */
    ACCEPTED,
    /** The worker is not in the state that the order requires. */
    REFUSED,
    /** The worker has seen a higher fencing token. */
    FENCED
}
