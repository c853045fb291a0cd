package org.magnoliavane.router.dispatch;

import java.util.Map;
import java.util.Optional;

import org.magnoliavane.routing.Organisation;
import org.magnoliavane.routing.Route;

/**
 * Describes a request of a caller that is ready to be forwarded to workers.
 *
 * <p>Immutable by convention; body and headers are not copied.
 *
 * @param method the HTTP method
 * @param target the path and the query as the caller sent them
 * @param headers all headers, by lower-case name
 * @param metadata the values parsed from the headers
 * @param body the complete body
 * @param route the route
 * @param configurationVersion the version of the configuration that contains the route
 * @param arrivalMillis the arrival time, in milliseconds of the monotonic clock
 * @param deadlineMillis the time at which the caller stops waiting or the timeout of the route ends, whichever is earlier, in
 *     milliseconds of the monotonic clock
 * @param organisation the organisation of the caller; empty if the request is anonymous
 * @param urgency the rank of the request in the order of admission; 0 is the most urgent
 * @param urgencies the number of urgencies that requests can have
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
        long deadlineMillis,
        Optional<Organisation> organisation,
        int urgency,
        int urgencies) {

    /**
     * Gets the id that identifies the request in logs.
     *
     * @return the id of the caller's attempt
     */
    public String getId() {
        return metadata.attemptId();
    }
}
