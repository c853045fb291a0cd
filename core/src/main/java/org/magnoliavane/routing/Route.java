package org.magnoliavane.routing;

import java.util.List;

/**
 * Sends the requests of one host below one path to a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host name, in lower case
 * @param pathPrefix the prefix, which begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time that a caller is kept waiting
 * @param targetMillis the time within which an answer, or the first event of a stream, is on time
 * @param targetGapMillis the longest pause between events of a stream that is on time; 0 for other kinds
 * @param priority the rank, 0 first
 * @param services the services, at least one
 * @param maxAttempts the largest number of workers that one request may reach
 * @param resumable true when a stream may go on at another worker
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
        boolean resumable) {

    /** What callers wait for an event at least, and how many targets or pauses; the callers' protocol says so. */
    private static final long MIN_EVENT_PATIENCE_MILLIS = 2000;

    private static final int PATIENCE_TARGETS = 4;
    private static final int PATIENCE_GAPS = 8;

    /**
     * Says whether a request may run a second time.
     *
     * @return true when a failure that leaves the outcome open may be repeated
     */
    public boolean isRetryable() {
        return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && resumable;
    }

    /**
     * Gets how long a caller waits for the next event of a stream, the first one included, before it leaves.
     *
     * @return the patience in milliseconds
     */
    public long getEventTimeoutMillis() {
        return Math.max(
                MIN_EVENT_PATIENCE_MILLIS, Math.max(PATIENCE_TARGETS * targetMillis, PATIENCE_GAPS * targetGapMillis));
    }

    /**
     * Picks a service by weight.
     *
     * @param draw a random number, at least 0 and below 1
     * @return the name of the service
     */
    public String pickService(double draw) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
