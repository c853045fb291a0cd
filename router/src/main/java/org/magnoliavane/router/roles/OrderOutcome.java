package org.magnoliavane.router.roles;

/** What became of an order. */
public enum OrderOutcome {
    /** The worker carries it out or has the role already. */
    ACCEPTED,
    /** The worker is not in the state on which the order relied. */
    REFUSED,
    /** The worker has seen an order with a higher fencing token. */
    FENCED
}
