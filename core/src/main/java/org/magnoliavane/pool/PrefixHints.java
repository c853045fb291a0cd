package org.magnoliavane.pool;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers where prompt prefixes were prefilled. A hint is a guess, because the engine may have evicted the prefix.
 * Not thread-safe.
 */
final class PrefixHints {
    private static final int MAX_HINTS_PER_WORKER = 4096;

    private final Map<String, LinkedHashMap<Long, Long>> seenMicros = new HashMap<>();
    private final long lifetimeMicros;

    PrefixHints(long lifetimeMicros) {
        this.lifetimeMicros = lifetimeMicros;
    }

    /** Counts the whole pieces of the prompt that the worker probably has in its cache. */
    int cachedPieces(String worker, List<Long> hashes, long now) {
        Map<Long, Long> seen = seenMicros.get(worker);
        if (seen == null) {
            return 0;
        }
        int count = 0;
        for (Long hash : hashes) {
            Long at = seen.get(hash);
            if (at == null || now - at > lifetimeMicros) {
                return count;
            }
            count++;
        }
        return count;
    }

    void learn(String worker, List<Long> hashes, long now) {
        LinkedHashMap<Long, Long> seen = seenMicros.computeIfAbsent(worker, w -> new LinkedHashMap<>());
        for (Long hash : hashes) {
            seen.remove(hash);
            seen.put(hash, now);
        }
        while (seen.size() > MAX_HINTS_PER_WORKER) {
            seen.remove(seen.keySet().iterator().next());
        }
    }

    void forget(String worker) {
        seenMicros.remove(worker);
    }
}
