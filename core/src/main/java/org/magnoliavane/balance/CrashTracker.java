package org.magnoliavane.balance;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts the workers that died while they ran a request, by the content of the request, and says which contents must not
 * run any more.
 *
 * <p>Thread-safe. Memory is bounded: the oldest content is forgotten first.
 */
public final class CrashTracker {
    private static final int MAX_CONTENTS = 4096;

    private final int limit;
    private final Map<Long, Set<String>> crashed = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Set<String>> eldest) {
            return size() > MAX_CONTENTS;
        }
    };

    /**
     * Creates an empty ledger.
     *
     * @param limit the number of crashes after which a content is refused
     */
    public CrashTracker(int limit) {
        this.limit = limit;
    }

    /**
     * Takes the crash of a worker.
     *
     * @param content the hash of the content that it ran
     * @param crash names the start of the worker that died, so that one crash counts once
     * @return true when the crash was not known yet
     */
    public synchronized boolean recordCrash(long content, String crash) {
        return crashed.computeIfAbsent(content, c -> new HashSet<>()).add(crash);
    }

    /**
     * Says whether a content is refused.
     *
     * @param content the hash of the content
     * @return true once it has crashed as many workers as the limit says
     */
    public synchronized boolean isRefused(long content) {
        return countCrashes(content) >= limit;
    }

    /**
     * Counts the crashes of a content.
     *
     * @param content the hash of the content
     * @return the number of crashes
     */
    public synchronized int countCrashes(long content) {
        Set<String> known = crashed.get(content);
        return known == null ? 0 : known.size();
    }
}
