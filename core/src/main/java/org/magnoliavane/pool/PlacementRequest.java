package org.magnoliavane.pool;

import java.util.List;

/**
 * Asks a pool for workers for one attempt of a model request.
 *
 * <p>Immutable and thread-safe. Times are remaining durations, because nodes do not share a clock.
 *
 * @param attempt the id of the attempt, unique over all nodes
 * @param service the model service, which names the pool
 * @param model the model
 * @param partner the partner of the caller
 * @param zone the availability zone of the node that asks
 * @param priceClass the name of the price class
 * @param microsPerToken the price of one token, in millionths of the currency unit
 * @param promptTokens the length of the prompt
 * @param expectedOutputTokens the expected length of the output
 * @param maxOutputTokens the largest length of the output
 * @param prefixHashes the prefix hashes of the prompt, shortest first
 * @param contentHash the hash of the request's content, by which crashes are counted
 * @param ttftMillis the time left until the first token is due
 * @param tbtMillis the target for the time between tokens
 * @param maxWaitMillis the time left until the prefill must have started or the request is refused
 * @param isolated true when the request is suspected of crashing workers and must share none
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
