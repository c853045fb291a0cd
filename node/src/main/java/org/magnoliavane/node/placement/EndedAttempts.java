package org.magnoliavane.node.placement;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers attempts that have ended, because reports about them lag.
 *
 * <p>Not thread-safe. Memory is bounded.
 */
final class EndedAttempts {
    /** Covers the time between the crash of a worker and its discovery. */
    private static final long RECENT_MICROS = 2_000_000;

    /** Covers the time for which engines go on with an attempt whose node was lost. */
    private static final long LOST_MICROS = 15_000_000;

    private static final long KEPT_MICROS = 120_000_000;

    private final int capacity;
    private final Map<String, PoolAttempt> entries = new LinkedHashMap<>();
    private final Map<String, String> reasons = new LinkedHashMap<>();

    EndedAttempts(int capacity) {
        this.capacity = capacity;
    }

    void add(PoolAttempt attempt, long now) {
        attempt.endedMicros = now;
        entries.put(attempt.getId(), attempt);
        trim(entries);
    }

    /** Forgets an attempt that is in work again, because its node has announced it. */
    void remove(String attempt) {
        entries.remove(attempt);
    }

    void addReason(String attempt, String reason) {
        reasons.put(attempt, reason);
        trim(reasons);
    }

    Optional<String> findReason(String attempt) {
        return Optional.ofNullable(reasons.get(attempt));
    }

    Optional<PoolAttempt> find(String attempt) {
        return Optional.ofNullable(entries.get(attempt));
    }

    /** Lists the attempts that failed or were cancelled on a worker a short time ago. */
    List<PoolAttempt> listOn(String worker, long upSince, long now) {
        List<PoolAttempt> result = new ArrayList<>();
        for (PoolAttempt attempt : entries.values()) {
            if (attempt.isOn(worker) && mayHaveBeenRunning(attempt, upSince, now)) {
                result.add(attempt);
            }
        }
        return result;
    }

    private static boolean mayHaveBeenRunning(PoolAttempt attempt, long upSince, long now) {
        long window = attempt.lost ? LOST_MICROS : RECENT_MICROS;
        return !attempt.isCompleted() && attempt.endedMicros >= Math.max(upSince, now - window);
    }

    void forgetBefore(long now) {
        Iterator<PoolAttempt> oldest = entries.values().iterator();
        while (oldest.hasNext() && now - oldest.next().endedMicros > KEPT_MICROS) {
            oldest.remove();
        }
    }

    private void trim(Map<String, ?> map) {
        if (map.size() > capacity) {
            Iterator<String> oldest = map.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
