package org.magnoliavane.routing;

/** Kinds of requests, by whether they may be retried and by how the response is delivered. */
public enum RequestKind {
    /** A single response; the request may be executed more than once. */
    IDEMPOTENT,
    /** A single response; the request may be executed at most once. */
    NON_IDEMPOTENT,
    /**
     * A stream of events from a model engine; the request may be executed at most once unless the route is resumable.
     */
    STREAM
}
