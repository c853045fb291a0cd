package org.magnoliavane.router.store;

/** The topics that the router follows. */
public enum Topic {
    /** The configuration written by the operators. */
    CONFIGURATION,
    /** The workers; each writes its own listing. */
    WORKERS,
    /** The nodes of the router; each writes its own listing. */
    NODES
}
