package org.magnoliavane.node.placement;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps attempts that have ended for a while, because engine reports and crash reports about them arrive later.
 *
 * <p>Not thread-safe. The number of entries is bounded. Times are microseconds of one monotonic clock.
 */
final class EndedAttempts {
    /** Bounds the time between the crash of a worker and its detection. */
    private static final long CRASH_DETECTION_MICROS = 2_000_000;

    /** Bounds the time for which engines continue an attempt whose node was lost. */
    private static final long LOST_NODE_MICROS = 15_000_000;

    /** Time for which an ended attempt is kept. */
    private static final long RETENTION_MICROS = 120_000_000;

    private final int capacity;
    private final Map<String, PoolAttempt> entries = new LinkedHashMap<>();
    private final Map<String, String> reasons = new LinkedHashMap<>();

    /**
     * Creates an empty instance.
     *
     * @param capacity the largest number of attempts, and of end reasons, that are kept
     */
    EndedAttempts(int capacity) {
        this.capacity = capacity;
    }

    /** Adds an attempt that has ended now. */
    void add(PoolAttempt attempt, long nowMicros) {
        attempt.endedMicros = nowMicros;
        entries.put(attempt.getId(), attempt);
        evictOldest(entries);
    }

    /** Removes an attempt that is active again because its node has announced it. */
    void remove(String attempt) {
        entries.remove(attempt);
    }

    /** Keeps the reason for which the coordinator ended an attempt. */
    void addEndReason(String attempt, String reason) {
        reasons.put(attempt, reason);
        evictOldest(reasons);
    }

    /** Finds the reason for which the coordinator ended an attempt; empty when it did not end the attempt. */
    Optional<String> findEndReason(String attempt) {
        return Optional.ofNullable(reasons.get(attempt));
    }

    /** Finds an ended attempt; empty when it is unknown or was removed. */
    Optional<PoolAttempt> find(String attempt) {
        return Optional.ofNullable(entries.get(attempt));
    }

    /** Finds the attempts that did not complete and may still have been running on a worker when it crashed. */
    List<PoolAttempt> findPossiblyRunning(String worker, long upSinceMicros, long nowMicros) {
        List<PoolAttempt> result = new ArrayList<>();
        for (PoolAttempt attempt : entries.values()) {
            if (attempt.mayRunOn(worker) && mayHaveBeenRunning(attempt, upSinceMicros, nowMicros)) {
                result.add(attempt);
            }
        }
        return result;
    }

    private static boolean mayHaveBeenRunning(PoolAttempt attempt, long upSinceMicros, long nowMicros) {
        long windowMicros = attempt.ownerLost ? LOST_NODE_MICROS : CRASH_DETECTION_MICROS;
        return !attempt.isCompleted() && attempt.endedMicros >= Math.max(upSinceMicros, nowMicros - windowMicros);
    }

    /** Removes the attempts whose retention time has passed. */
    void removeExpired(long nowMicros) {
        Iterator<PoolAttempt> oldest = entries.values().iterator();
        while (oldest.hasNext() && nowMicros - oldest.next().endedMicros > RETENTION_MICROS) {
            oldest.remove();
        }
    }

    private void evictOldest(Map<String, ?> map) {
        if (map.size() > capacity) {
            Iterator<String> oldest = map.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
