package org.magnoliavane.node.keyed;

import java.util.Map;

/**
 * Holds the response of a backend server.
 *
 * <p>Immutable and thread-safe as long as the body is not changed.
 *
 * @param status the HTTP status
 * @param headers the headers to forward, by lower-case name
 * @param body the body; may be empty
 */
public record PlainResponse(int status, Map<String, String> headers, byte[] body) {}
