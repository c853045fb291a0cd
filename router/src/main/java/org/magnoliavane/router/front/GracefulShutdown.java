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
    private static final long STREAM_MILLIS = 2500;

    /** Time before the end at which the last answers must be on their way. */
    private static final long ANSWER_LEAD_MILLIS = 300;

    private static final long STAYING = Long.MAX_VALUE;

    private final AtomicLong startMillis = new AtomicLong(STAYING);
    private final AtomicLong endMillis = new AtomicLong(STAYING);

    /**
     * Starts to leave.
     *
     * @param nowMillis the current time
     * @param stopMillis the time at which the process will end
     * @return false when the node was leaving already
     */
    public boolean start(long nowMillis, long stopMillis) {
        endMillis.compareAndSet(STAYING, stopMillis);
        return startMillis.compareAndSet(STAYING, nowMillis);
    }

    /**
     * Says whether the node is leaving.
     *
     * @return true after {@link #start}
     */
    public boolean isLeaving() {
        return startMillis.get() != STAYING;
    }

    /**
     * Says whether a request can be finished.
     *
     * @param route the route of the request
     * @param nowMillis the current time
     * @return false when the request should go to another node
     */
    public boolean mayTake(Route route, long nowMillis) {
        if (!isLeaving()) {
            return true;
        }
        if (route.kind() == RequestKind.STREAM) {
            return nowMillis - startMillis.get() <= STREAM_MILLIS;
        }
        return nowMillis + route.timeoutMillis() <= endMillis.get() - ANSWER_LEAD_MILLIS;
    }
}
