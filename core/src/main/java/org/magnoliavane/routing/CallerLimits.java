package org.magnoliavane.routing;

/**
 * Bounds what a caller may send.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxBodyBytes the largest body of a request
 * @param headerTimeoutMillis how long the head of a request may take
 * @param idleTimeoutMillis how long a connection may stay idle
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
