package org.magnoliavane.router.dispatch;

import java.util.Optional;

import org.magnoliavane.balance.ListedWorker;

/**
 * Holds the result of the prefill of a request: the handle of the KV cache, which is retained for one decode worker for a
 * short time, and the prefill worker, whose own cache may contain the prompt for longer.
 *
 * <p>Not thread-safe.
 */
final class PrefilledPrompt {
    private Optional<CacheHandle> handle = Optional.empty();
    private Optional<ListedWorker> prefillWorker = Optional.empty();
    private long expiryMillis;

    /** Records the result of a prefill. */
    void recordPrefill(CacheHandle newHandle, ListedWorker worker, long nowMillis, long retentionMillis) {
        handle = Optional.of(newHandle);
        prefillWorker = Optional.of(worker);
        expiryMillis = nowMillis + retentionMillis;
    }

    /** Records that the KV cache has been fetched or has expired. */
    void invalidateHandle() {
        handle = Optional.empty();
    }

    /**
     * Finds the handle of the KV cache.
     *
     * @param untilMillis the time at which the cache will be fetched, in milliseconds
     * @return the handle; empty if there is none or the cache will have expired by then
     */
    Optional<CacheHandle> findHandle(long untilMillis) {
        return handle.filter(h -> untilMillis < expiryMillis);
    }

    /**
     * Finds the worker that ran the latest prefill.
     *
     * @return the worker; empty before the first prefill
     */
    Optional<ListedWorker> findPrefillWorker() {
        return prefillWorker;
    }
}
