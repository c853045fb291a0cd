package org.magnoliavane.router.dispatch;

import java.util.Optional;

import org.magnoliavane.balance.ListedWorker;

/**
 * Describes how a request is sent to one worker.
 *
 * <p>Immutable and thread-safe.
 *
 * @param worker the worker
 * @param remainingMillis the time for which the caller still waits, in milliseconds
 * @param prefillOnly true if the worker runs only the prefill
 * @param cache the handle of the KV cache to fetch; empty if the worker runs the prefill itself
 * @param cachedAt the worker that ran the prefill and may still have the prompt in its cache; empty if there is none
 * @param lastEventId the id of the event after which a stream resumes; empty at its start
 */
public record WorkerRequest(
        ListedWorker worker,
        long remainingMillis,
        boolean prefillOnly,
        Optional<CacheHandle> cache,
        Optional<ListedWorker> cachedAt,
        Optional<String> lastEventId) {

    /**
     * Creates a request that runs completely at one worker.
     *
     * @param worker the worker
     * @param remainingMillis the time for which the caller still waits, in milliseconds
     * @return the request
     */
    public static WorkerRequest forCompleteRequest(ListedWorker worker, long remainingMillis) {
        return new WorkerRequest(worker, remainingMillis, false, Optional.empty(), Optional.empty(), Optional.empty());
    }
}
