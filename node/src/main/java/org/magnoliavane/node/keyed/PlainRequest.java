package org.magnoliavane.node.keyed;

import java.util.Map;
import java.util.Optional;

/**
 * Holds a request to a plain service.
 *
 * <p>Immutable and thread-safe as long as the body is not changed.
 *
 * @param id the id of the request
 * @param caller the name of the caller
 * @param service the name of the service
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers to forward
 * @param body the body; may be empty
 * @param idempotencyKey the idempotency key; empty for an idempotent request without one
 * @param idempotent true when the request may be sent again
 * @param timeoutMillis the time left for the request, in milliseconds
 */
public record PlainRequest(
        String id,
        String caller,
        String service,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Optional<String> idempotencyKey,
        boolean idempotent,
        long timeoutMillis) {}
