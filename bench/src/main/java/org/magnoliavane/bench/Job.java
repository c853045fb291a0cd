package org.magnoliavane.bench;

import java.util.List;

import org.magnoliavane.config.PriceClass;

/**
 * Describes one request of a workload, with the true output length that no policy sees.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the number of the request
 * @param arrivalMicros the time of arrival at its node
 * @param node the number of the node
 * @param partner the partner of the caller
 * @param priceClass the price class with its targets
 * @param promptTokens the length of the prompt
 * @param expectedOutputTokens the expected length of the output
 * @param maxOutputTokens the largest length of the output
 * @param outputTokens the true length of the output
 * @param prefixHashes the prefix hashes, shortest first
 * @param sharedPieces the number of leading pieces that other requests share
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

    long getFirstTokenDueMicros() {
        return arrivalMicros + priceClass.ttftMillis() * 1000;
    }

    long getPriceMicros() {
        return (promptTokens + outputTokens) * priceClass.microsPerToken();
    }
}
