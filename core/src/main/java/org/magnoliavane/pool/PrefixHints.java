package org.magnoliavane.pool;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records which prefill workers computed which prompt prefixes. A hint may be wrong, because the engine may have
 * evicted the prefix from its cache.
 *
 * <p>Not thread-safe. Times are in microseconds.
 */
final class PrefixHints {
    private static final int MAX_HINTS_PER_WORKER = 4096;

    private final Map<String, LinkedHashMap<Long, Long>> hintsByWorker = new HashMap<>();
    private final long lifetimeMicros;

    PrefixHints(long lifetimeMicros) {
        this.lifetimeMicros = lifetimeMicros;
    }

    /** Counts the whole pieces at the start of the prompt that the worker probably has in its cache. */
    int countCachedPieces(String worker, List<Long> hashes, long now) {
        Map<Long, Long> hints = hintsByWorker.get(worker);
        if (hints == null) {
            return 0;
        }
        int count = 0;
        for (Long hash : hashes) {
            Long at = hints.get(hash);
            if (at == null || now - at > lifetimeMicros) {
                return count;
            }
            count++;
        }
        return count;
    }

    /** Records that a worker computes the prefixes; the oldest hints of the worker beyond the limit are evicted. */
    void recordPrefix(String worker, List<Long> hashes, long now) {
        LinkedHashMap<Long, Long> hints = hintsByWorker.computeIfAbsent(worker, w -> new LinkedHashMap<>());
        for (Long hash : hashes) {
            hints.remove(hash);
            hints.put(hash, now);
        }
        while (hints.size() > MAX_HINTS_PER_WORKER) {
            hints.remove(hints.keySet().iterator().next());
        }
    }

    /** Removes all hints of a worker. */
    void removeWorker(String worker) {
        hintsByWorker.remove(worker);
    }
}
