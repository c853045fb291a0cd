package org.magnoliavane.routing;

/** Says what may be repeated, and how an answer is delivered. */
public enum RequestKind {
    /** One answer; the request may run more than once. */
    IDEMPOTENT,
    /** One answer; the request may run at most once. */
    NON_IDEMPOTENT,
    /** A series of events from a model engine; the request may run at most once unless the route is resumable. */
    STREAM
}
