package org.magnoliavane;

import java.util.Locale;

/**
 * Kinds of errors that are reported to callers and peers, each with its HTTP status.
 */
public enum FaultKind {
    /** The request is malformed. */
    INVALID_REQUEST(400),
    /** A non-idempotent request carries no idempotency key. */
    MISSING_IDEMPOTENCY_KEY(400),
    /** The bearer key is absent or unknown. */
    UNAUTHENTICATED(401),
    /** The caller may not use the service, or the stream belongs to another caller. */
    FORBIDDEN(403),
    /** No route, model, class or stream has this name. */
    NOT_FOUND(404),
    /** The same idempotency key was used for another request. */
    KEY_CONFLICT(422),
    /** A request with the same idempotency key is still being executed elsewhere. */
    IN_PROGRESS(409),
    /** The run token of the idempotency key has expired. */
    EXPIRED_KEY(409),
    /** The body or the headers exceed the configured limit. */
    TOO_LARGE(413),
    /** The request cannot meet its targets at the current load. */
    OVERLOADED(429),
    /** The request has crashed backend servers and is refused permanently. */
    POISON(422),
    /** A service on which the request depends is unavailable. */
    DEPENDENCY_UNAVAILABLE(503),
    /** No backend server can accept the request. */
    UNAVAILABLE(503),
    /** The log service is required but cannot be reached. */
    LOG_UNAVAILABLE(503),
    /** The node run that owns the idempotency key cannot be reached or no longer exists. */
    OWNER_UNREACHABLE(503),
    /** The deadline of the request has passed. */
    DEADLINE_EXCEEDED(504),
    /** A backend server failed during the execution of the request. */
    BACKEND_FAILED(502),
    /** The node has an internal error. */
    INTERNAL(500);

    private final int httpStatus;

    FaultKind(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Gets the HTTP status of this kind.
     *
     * @return the status code
     */
    public int getHttpStatus() {
        return httpStatus;
    }

    /**
     * Gets the name used in error bodies.
     *
     * @return the name in lower case
     */
    public String toWire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
