package org.magnoliavane.router.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds the values from the headers of a caller's request, except for method, path and host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attemptId the id that the caller assigned to this attempt
 * @param timeoutMillis the time for which the caller waits, in milliseconds; empty if it is not stated
 * @param generation the size of a model request; empty for other requests
 * @param lastEventId the id of the last event that the caller has received; empty unless it resumes a stream
 */
public record RequestMetadata(
        String attemptId,
        OptionalLong timeoutMillis,
        Optional<GenerationSize> generation,
        Optional<String> lastEventId) {}
