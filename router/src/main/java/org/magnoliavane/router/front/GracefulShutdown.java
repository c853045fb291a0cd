package org.magnoliavane.router.front;

import java.util.concurrent.atomic.AtomicLong;

import org.magnoliavane.routing.RequestKind;
import org.magnoliavane.routing.Route;

/**
 * Says what a node that is about to stop may still take: what it can finish before its end.
 *
 * <p>Thread-safe.
 */
public final class GracefulShutdown {
    /** Time after the request to stop in which streams are taken; they last for seconds. */
    private static final long STREAM_ACCEPT_MILLIS = 2500;

    /** Time before the end at which the last answers must be on their way. */
    private static final long RESPONSE_MARGIN_MILLIS = 300;

    private static final long NOT_STARTED = Long.MAX_VALUE;

    private final AtomicLong startMillis = new AtomicLong(NOT_STARTED);
    private final AtomicLong endMillis = new AtomicLong(NOT_STARTED);

    /**
     * Starts to leave.
     *
     * @param nowMillis the current time
     * @param stopMillis the time at which the process will end
     * @return false when the node was leaving already
     */
    public boolean start(long nowMillis, long stopMillis) {
        endMillis.compareAndSet(NOT_STARTED, stopMillis);
        return startMillis.compareAndSet(NOT_STARTED, nowMillis);
    }

    /**
     * Says whether the node is leaving.
     *
     * @return true after {@link #start}
     */
    public boolean isShuttingDown() {
        return startMillis.get() != NOT_STARTED;
    }

    /**
     * Says whether a request can be finished.
     *
     * @param route the route of the request
     * @param nowMillis the current time
     * @return false when the request should go to another node
     */
    public boolean canAccept(Route route, long nowMillis) {
        if (!isShuttingDown()) {
            return true;
        }
        if (route.kind() == RequestKind.STREAM) {
            return nowMillis - startMillis.get() <= STREAM_ACCEPT_MILLIS;
        }
        return nowMillis + route.timeoutMillis() <= endMillis.get() - RESPONSE_MARGIN_MILLIS;
    }
}
