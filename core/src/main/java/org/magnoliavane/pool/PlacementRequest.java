package org.magnoliavane.pool;

import java.util.List;

/**
 * Requests workers of a pool for one attempt of a model request.
 *
 * <p>Immutable and thread-safe. Times are remaining durations, because the clocks of nodes are not synchronized.
 *
 * @param attempt the id of the attempt, unique over all nodes
 * @param service the model service, which names the pool
 * @param model the model
 * @param partner the partner of the caller
 * @param zone the availability zone of the requesting node
 * @param priceClass the name of the price class
 * @param microsPerToken the price of one token, in millionths of the currency unit
 * @param promptTokens the length of the prompt in tokens
 * @param expectedOutputTokens the expected length of the output in tokens
 * @param maxOutputTokens the maximum length of the output in tokens
 * @param prefixHashes the prefix hashes of the prompt, shortest first
 * @param contentHash the hash of the request's content, by which worker crashes are counted
 * @param ttftMillis the time left until the first token is due, in milliseconds
 * @param tbtMillis the target for the time between tokens, in milliseconds
 * @param maxWaitMillis the time left until the prefill must have started, in milliseconds; after it the request is
 *     refused
 * @param isolated true when the request is suspected of crashing workers and must not share a worker
 */
public record PlacementRequest(
        String attempt,
        String service,
        String model,
        String partner,
        String zone,
        String priceClass,
        long microsPerToken,
        int promptTokens,
        int expectedOutputTokens,
        int maxOutputTokens,
        List<Long> prefixHashes,
        long contentHash,
        long ttftMillis,
        long tbtMillis,
        long maxWaitMillis,
        boolean isolated) {}
