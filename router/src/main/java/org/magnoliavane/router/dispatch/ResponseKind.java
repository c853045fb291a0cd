package org.magnoliavane.router.dispatch;

/** Classifies the status and the headers of a worker's response. */
public enum ResponseKind {
    /** The response belongs to the request, which the worker has run or is still running. */
    VALID,
    /** The worker reports that it did not run the request. */
    NOT_RUN,
    /** Another worker now has the address; the request did not run. */
    WRONG_WORKER,
    /** The body has an encoding that no request asks for, so it is not what the worker wrote; the request may have run. */
    ENCODED,
    /** The response belongs to another request, or lacks proof of its origin. */
    UNVERIFIED
}
