package org.magnoliavane.routing;

/**
 * Holds the limits for requests and connections of callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes the maximum size of the headers of a request in bytes
 * @param maxBodyBytes the maximum size of the body of a request in bytes
 * @param headerTimeoutMillis the time within which the headers of a request must be received, in milliseconds
 * @param idleTimeoutMillis the time for which a connection may be idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
