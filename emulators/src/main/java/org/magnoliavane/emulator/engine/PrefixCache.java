package org.magnoliavane.emulator.engine;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Caches the most recently used prompt prefixes, in whole pieces.
 *
 * <p>Not thread-safe.
 */
final class PrefixCache {
    private final int capacity;
    private final CacheEvents events;
    private final Set<Long> prefixes = new LinkedHashSet<>();

    PrefixCache(int capacity, CacheEvents events) {
        this.capacity = capacity;
        this.events = events;
    }

    /** Counts the leading pieces of a prompt that are cached and marks them as used. */
    int countCached(List<Long> hashes) {
        int cached = 0;
        while (cached < hashes.size() && prefixes.contains(hashes.get(cached))) {
            cached++;
        }
        markUsed(hashes.subList(0, cached));
        return cached;
    }

    void store(List<Long> hashes, long nowMicros) {
        List<Long> storable = hashes.subList(0, Math.min(hashes.size(), capacity));
        for (Long hash : storable) {
            if (prefixes.add(hash)) {
                events.add(CacheEvents.STORED, hash, nowMicros);
            }
        }
        markUsed(storable);
        evictTo(capacity, nowMicros);
    }

    void clear(long nowMicros) {
        evictTo(0, nowMicros);
    }

    /**
     * Moves prefixes to the end of the eviction order, longest first, so that a shorter prefix is evicted after the
     * longer ones that extend it.
     */
    private void markUsed(List<Long> hashes) {
        for (int i = hashes.size() - 1; i >= 0; i--) {
            prefixes.remove(hashes.get(i));
            prefixes.add(hashes.get(i));
        }
    }

    private void evictTo(int size, long nowMicros) {
        Iterator<Long> oldest = prefixes.iterator();
        while (prefixes.size() > size) {
            events.add(CacheEvents.EVICTED, oldest.next(), nowMicros);
            oldest.remove();
        }
    }
}
