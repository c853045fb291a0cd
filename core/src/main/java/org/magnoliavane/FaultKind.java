package org.magnoliavane;

import java.util.Locale;

/**
 * Kinds of errors that callers and peers see, each with its HTTP status.
 */
public enum FaultKind {
    /** The request is malformed. */
    INVALID_REQUEST(400),
    /** A non-idempotent call carries no idempotency key. */
    MISSING_IDEMPOTENCY_KEY(400),
    /** The bearer key is absent or unknown. */
    UNAUTHENTICATED(401),
    /** The caller may not use the service, or the stream belongs to another caller. */
    FORBIDDEN(403),
    /** No route, model, class or stream has this name. */
    NOT_FOUND(404),
    /** The same key was used with another request. */
    KEY_CONFLICT(422),
    /** A request with the same key is still running elsewhere. */
    IN_PROGRESS(409),
    /** The run token of the key is too old. */
    EXPIRED_KEY(409),
    /** The body or the headers exceed the configured limit. */
    TOO_LARGE(413),
    /** The request cannot meet its targets at the current load. */
    OVERLOADED(429),
    /** The request crashed backend servers and is refused for good. */
    POISON(422),
    /** A service on which the request depends cannot answer. */
    DEPENDENCY_UNAVAILABLE(503),
    /** No backend server can take the request. */
    UNAVAILABLE(503),
    /** The log service cannot be reached and is needed. */
    LOG_UNAVAILABLE(503),
    /** The node run that owns the key cannot be reached or is gone. */
    OWNER_UNREACHABLE(503),
    /** The deadline of the request has passed. */
    DEADLINE_EXCEEDED(504),
    /** A backend server failed while the request ran. */
    BACKEND_FAILED(502),
    /** The node has a fault of its own. */
    INTERNAL(500);

    private final int httpStatus;

    FaultKind(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Gets the HTTP status that goes with this kind.
     *
     * @return the status code
     */
    public int getHttpStatus() {
        return httpStatus;
    }

    /**
     * Gets the form used in error bodies.
     *
     * @return the lower-case name
     */
    public String toWire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
