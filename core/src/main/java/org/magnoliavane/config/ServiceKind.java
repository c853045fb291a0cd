package org.magnoliavane.config;

/**
 * Kinds of services that the router knows.
 */
public enum ServiceKind {
    /** Large language model with prefill and decode workers. */
    MODEL,
    /** Plain HTTP service. */
    PLAIN
}
