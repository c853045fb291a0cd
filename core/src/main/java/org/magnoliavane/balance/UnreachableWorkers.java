package org.magnoliavane.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Remembers the workers that accepted no connection from this node, so that other nodes can be told before each of them
 * loses a request to the same worker.
 *
 * <p>Thread-safe.
 */
public final class UnreachableWorkers {
    /** Share of the workers above which this node itself is more likely to be disconnected than they are. */
    private static final double MAX_SHARE = 0.25;

    /** Number of unreachable workers that is always reported, whatever its share, since small services have few workers. */
    private static final int MIN_REPORTED = 1;

    private final Map<String, Long> untilMillis = new ConcurrentHashMap<>();

    /**
     * Records a worker that accepted no connection.
     *
     * @param worker the id of the worker
     * @param until the time until which it should get no requests, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return false if the worker was known to be unreachable
     */
    public boolean record(String worker, long until, long nowMillis) {
        Long previous = untilMillis.put(worker, until);
        return previous == null || previous <= nowMillis;
    }

    /**
     * Gets the workers to report to other nodes.
     *
     * @param workers the number of known workers
     * @param nowMillis the current time, in milliseconds
     * @return the remaining time in milliseconds by the id of the worker; empty if so many are unreachable that the fault
     *     is more likely at this node
     */
    public Map<String, Long> getReported(int workers, long nowMillis) {
        untilMillis.values().removeIf(until -> until <= nowMillis);
        Map<String, Long> remaining = new HashMap<>();
        untilMillis.forEach((worker, until) -> remaining.put(worker, until - nowMillis));
        return remaining.size() <= Math.max(MIN_REPORTED, MAX_SHARE * workers) ? remaining : Map.of();
    }
}
