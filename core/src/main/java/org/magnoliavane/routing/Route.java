package org.magnoliavane.routing;

import java.util.List;

/**
 * Maps the requests to one host below one path prefix to services.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host name, in lower case
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind the kind of the requests
 * @param timeoutMillis the maximum time for which a caller waits, in milliseconds
 * @param targetMillis the target time for a response or for the first event of a stream, in milliseconds
 * @param targetGapMillis the target for the time between events of a stream, in milliseconds; 0 for other kinds
 * @param priority the priority; 0 is the highest
 * @param services the services, at least one
 * @param maxAttempts the maximum number of workers to which one request may be sent
 * @param resumable true when a stream may be continued at another worker
 * @param anonymous true when requests need no API key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long targetMillis,
        long targetGapMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean resumable,
        boolean anonymous) {

    /** The minimum event timeout; like the two factors below, it is defined by the protocol of callers. */
    private static final long MIN_EVENT_TIMEOUT_MILLIS = 2000;

    private static final int EVENT_TIMEOUT_TARGETS = 4;
    private static final int EVENT_TIMEOUT_GAPS = 8;

    /**
     * Returns whether a request may be executed a second time.
     *
     * @return true when a request may be retried although its first execution may have taken place
     */
    public boolean isRetryable() {
        return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && resumable;
    }

    /**
     * Gets the time for which a caller waits for the next event of a stream, including the first, before it
     * disconnects.
     *
     * @return the timeout in milliseconds
     */
    public long getEventTimeoutMillis() {
        return Math.max(
                MIN_EVENT_TIMEOUT_MILLIS,
                Math.max(EVENT_TIMEOUT_TARGETS * targetMillis, EVENT_TIMEOUT_GAPS * targetGapMillis));
    }

    /**
     * Picks a service in proportion to the weights.
     *
     * @param random a random number, at least 0 and below 1
     * @return the name of the service
     */
    public String pickService(double random) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = random * total;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
