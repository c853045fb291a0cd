package org.magnoliavane.router.store;

/** The tables that the router follows. */
public enum Topic {
    /** The operators' configuration. */
    CONFIGURATION,
    /** The workers, each listed by itself. */
    WORKERS,
    /** The nodes of the router, each listed by itself. */
    NODES
}
