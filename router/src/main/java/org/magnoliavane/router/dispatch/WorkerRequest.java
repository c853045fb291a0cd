package org.magnoliavane.router.dispatch;

import java.util.Optional;

import org.magnoliavane.balance.ListedWorker;

/**
 * How a request is to be sent to one worker.
 *
 * @param worker the worker
 * @param remainingMillis how long the caller will still wait
 * @param prefillOnly true when only the prompt is to be read
 * @param cache the KV cache to start from; empty when the worker reads the prompt itself
 * @param cachedAt the worker that read the prompt and may still have it in its cache; empty when none did
 * @param lastEventId the event after which a stream goes on; empty at its start
 */
public record WorkerRequest(
        ListedWorker worker,
        long remainingMillis,
        boolean prefillOnly,
        Optional<CacheHandle> cache,
        Optional<ListedWorker> cachedAt,
        Optional<String> lastEventId) {

    /**
     * Creates a call that runs the whole request.
     *
     * @param worker the worker
     * @param remainingMillis how long the caller will still wait
     * @return the call
     */
    public static WorkerRequest forCompleteRequest(ListedWorker worker, long remainingMillis) {
        return new WorkerRequest(worker, remainingMillis, false, Optional.empty(), Optional.empty(), Optional.empty());
    }
}
