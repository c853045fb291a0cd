package org.magnoliavane.router.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the head of a request says, apart from method, path and host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attemptId the id that the caller gave to this attempt
 * @param timeoutMillis how long the caller will wait; empty when it does not say
 * @param generation the size of a request to a model; empty for other requests
 * @param lastEventId the last event that the caller has; empty unless it resumes a stream
 */
public record RequestMetadata(
        String attemptId,
        OptionalLong timeoutMillis,
        Optional<GenerationSize> generation,
        Optional<String> lastEventId) {}
