package org.magnoliavane.router.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.magnoliavane.routing.Route;

/**
 * Holds the values from the headers of a caller's request, except for method, path and host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attemptId the id that the caller assigned to this attempt
 * @param timeoutMillis the time for which the caller waits, in milliseconds; empty if it is not stated
 * @param generation the size of a model request; empty for other requests
 * @param lastEventId the id of the last event that the caller has received; empty unless it resumes a stream
 * @param sharedParts the ids of the parts of the prompt that other requests may share, in their order; the last part, which
 *     belongs to the request or its session, is left out
 */
public record RequestMetadata(
        String attemptId,
        OptionalLong timeoutMillis,
        Optional<GenerationSize> generation,
        Optional<String> lastEventId,
        List<Long> sharedParts) {

    /** Part of a caller's timeout that is reserved for the transfer of the response to the caller. */
    private static final long RESPONSE_MARGIN_MILLIS = 30;

    /**
     * Gets the time within which the request must be answered.
     *
     * @param route the route of the request
     * @return the time from its arrival, in milliseconds
     */
    public long getLimitMillis(Route route) {
        return Math.min(timeoutMillis.orElse(route.timeoutMillis()) - RESPONSE_MARGIN_MILLIS, route.timeoutMillis());
    }

    /**
     * Finds the number of tokens that count for the usage of an organisation.
     *
     * @return the prompt tokens and the largest number of output tokens; empty if the request states no size
     */
    public OptionalLong findTotalTokens() {
        return generation.isPresent()
                ? OptionalLong.of((long) generation.get().promptTokens()
                        + generation.get().maxOutputTokens())
                : OptionalLong.empty();
    }

    /**
     * Formats the shared parts for a log line.
     *
     * @return the ids in hexadecimal, separated by commas; empty if there are none
     */
    public String formatSharedParts() {
        return sharedParts.stream().map(Long::toHexString).collect(Collectors.joining(","));
    }
}
