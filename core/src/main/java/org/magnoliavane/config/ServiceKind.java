package org.magnoliavane.config;

/**
 * Kinds of services.
 */
public enum ServiceKind {
    /** Large language model with prefill and decode workers. */
    MODEL,
    /** Plain HTTP service. */
    PLAIN
}
