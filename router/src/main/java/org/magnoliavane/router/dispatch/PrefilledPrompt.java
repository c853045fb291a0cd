package org.magnoliavane.router.dispatch;

import java.util.Optional;

import org.magnoliavane.balance.ListedWorker;

/**
 * Where the prompt of a request has been read: the KV cache that is kept for one decode worker for a short time, and the
 * prefill worker, which may have the prompt in its own cache for longer.
 *
 * <p>Not thread-safe.
 */
final class PrefilledPrompt {
    private Optional<CacheHandle> handle = Optional.empty();
    private Optional<ListedWorker> prefillWorker = Optional.empty();
    private long expiryMillis;

    /** Takes the result of a prefill. */
    void recordPrefill(CacheHandle filled, ListedWorker worker, long nowMillis, long lifeMillis) {
        handle = Optional.of(filled);
        prefillWorker = Optional.of(worker);
        expiryMillis = nowMillis + lifeMillis;
    }

    /** Takes note that the KV cache has been taken or has lapsed. */
    void invalidateHandle() {
        handle = Optional.empty();
    }

    /**
     * Gets the KV cache.
     *
     * @param untilMillis the time at which it will be taken
     * @return the KV cache; empty when it will be gone by then
     */
    Optional<CacheHandle> findHandle(long untilMillis) {
        return handle.filter(h -> untilMillis < expiryMillis);
    }

    /**
     * Gets the worker that read the prompt.
     *
     * @return the worker; empty before the first prefill
     */
    Optional<ListedWorker> findPrefillWorker() {
        return prefillWorker;
    }
}
