package org.magnoliavane.router.dispatch;

/** Says what the head of a worker's answer means. */
public enum ResponseKind {
    /** The worker ran the request, or still runs it, and this is its answer. */
    VALID,
    /** The worker states that it did not run the request. */
    NOT_RUN,
    /** Another worker has the address now; nothing ran. */
    WRONG_WORKER,
    /** The answer belongs to another request or does not prove where it comes from. */
    UNVERIFIED
}
