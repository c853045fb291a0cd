package org.magnoliavane.balance;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts the worker crashes that each request content has caused, and refuses contents that reached the limit.
 *
 * <p>Thread-safe. Memory use is bounded: the least recently accessed content is evicted first.
 */
public final class CrashTracker {
    private static final int MAX_CONTENTS = 4096;

    private final int limit;
    private final Map<Long, Set<String>> crashesByContent = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Set<String>> eldest) {
            return size() > MAX_CONTENTS;
        }
    };

    /**
     * Creates a tracker without crashes.
     *
     * @param limit the number of crashes at which a content is refused
     */
    public CrashTracker(int limit) {
        this.limit = limit;
    }

    /**
     * Records the crash of a worker.
     *
     * @param content the hash of the request content that the worker was running
     * @param crash identifies the worker and its start, so that a crash reported by several nodes counts once
     * @return true if the crash was not recorded before
     */
    public synchronized boolean recordCrash(long content, String crash) {
        return crashesByContent.computeIfAbsent(content, c -> new HashSet<>()).add(crash);
    }

    /**
     * Returns whether requests with a content are refused.
     *
     * @param content the hash of the request content
     * @return true if the number of crashes has reached the limit
     */
    public synchronized boolean isRefused(long content) {
        return countCrashes(content) >= limit;
    }

    /**
     * Counts the recorded crashes of a content.
     *
     * @param content the hash of the request content
     * @return the number of crashes; 0 for an unknown content
     */
    public synchronized int countCrashes(long content) {
        Set<String> crashes = crashesByContent.get(content);
        return crashes == null ? 0 : crashes.size();
    }
}
