package org.magnoliavane.bench;

import java.util.List;

import org.magnoliavane.config.PriceClass;

/**
 * Describes one request of a workload, including the true output length, which is hidden from the policies.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the number of the request in its workload, from 0
 * @param arrivalMicros the time of arrival at its node, in microseconds
 * @param node the number of the node that receives the request
 * @param partner the partner to which the caller belongs
 * @param priceClass the price class with its targets
 * @param promptTokens the length of the prompt in tokens
 * @param expectedOutputTokens the expected length of the output in tokens
 * @param maxOutputTokens the maximum length of the output in tokens
 * @param outputTokens the true length of the output in tokens
 * @param prefixHashes the prefix hashes of the prompt, shortest prefix first
 * @param sharedPieces the number of leading pieces shared with other requests
 */
record Job(
        int id,
        long arrivalMicros,
        int node,
        String partner,
        PriceClass priceClass,
        int promptTokens,
        int expectedOutputTokens,
        int maxOutputTokens,
        int outputTokens,
        List<Long> prefixHashes,
        int sharedPieces) {

    /** Gets the time at which the first token is due, in microseconds. */
    long getFirstTokenDueMicros() {
        return arrivalMicros + priceClass.ttftMillis() * 1000;
    }

    /** Gets the price of the prompt and the output, in millionths of the currency unit. */
    long getPriceMicros() {
        return (promptTokens + outputTokens) * priceClass.microsPerToken();
    }
}
