package org.magnoliavane.router.dispatch;

import java.util.Map;

import org.magnoliavane.routing.Route;

/**
 * A request of a caller, ready to be sent on.
 *
 * <p>Immutable by convention; body and headers are not copied.
 *
 * @param method the HTTP method
 * @param target path and query as the caller sent them
 * @param headers all headers, by lower-case name
 * @param metadata what the headers say
 * @param body the whole body
 * @param route the route
 * @param configurationVersion the version of the configuration that has the route
 * @param arrivalMillis when the request arrived, on the monotonic clock
 * @param deadlineMillis when the caller stops waiting or the route's timeout is reached, on the monotonic clock
 */
public record CallerRequest(
        String method,
        String target,
        Map<String, String> headers,
        RequestMetadata metadata,
        byte[] body,
        Route route,
        long configurationVersion,
        long arrivalMillis,
        long deadlineMillis) {

    /**
     * Gets the id by which logs name the request.
     *
     * @return the id of the caller's attempt
     */
    public String getId() {
        return metadata.attemptId();
    }
}
