package org.magnoliavane.node.keyed;

import java.util.Map;
import java.util.Optional;

/**
 * Describes a call to a plain service.
 *
 * <p>Immutable and thread-safe as long as the body is not changed.
 *
 * @param request the id of the request
 * @param caller the name of the caller
 * @param service the name of the service
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers to pass on
 * @param body the body; may be empty
 * @param idempotencyKey the idempotency key; empty for an idempotent call without one
 * @param idempotent true when the call may be repeated
 * @param timeoutMillis the time that is left for the call
 */
public record PlainRequest(
        String request,
        String caller,
        String service,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Optional<String> idempotencyKey,
        boolean idempotent,
        long timeoutMillis) {}
