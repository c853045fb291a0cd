package org.magnoliavane.router.dispatch;

/** Computes until when a stream must start, and whether a prefill worker has room for it. */
final class StreamTimes {
    /** Time from the end of a prefill to the first event, including a margin. */
    static final long FIRST_EVENT_MILLIS = 80;

    /** Time that remains to send an error response when a request leaves the queue. */
    private static final long RESPONSE_MARGIN_MILLIS = 150;

    /** Largest number of queued tokens at a prefill worker; limited because decode memory stays reserved meanwhile. */
    static final int MAX_QUEUED_TOKENS = 16_000;

    private StreamTimes() {}

    /**
     * Gets the time after which the next event could not reach the caller before its timeout.
     *
     * @param request the request
     * @param lastEventOrArrivalMillis the time since which the caller waits, in milliseconds
     * @param remainingPrefillMillis the expected duration of the prefill that is still to be done, in milliseconds
     * @return the time, in milliseconds of the monotonic clock
     */
    static long getLatestStartMillis(
            CallerRequest request, long lastEventOrArrivalMillis, long remainingPrefillMillis) {
        long callerTimeoutMillis = lastEventOrArrivalMillis + request.route().getEventTimeoutMillis();
        return Math.min(callerTimeoutMillis, request.deadlineMillis())
                - remainingPrefillMillis
                - FIRST_EVENT_MILLIS
                - RESPONSE_MARGIN_MILLIS;
    }
}
