package org.magnoliavane.config;

/**
 * Describes a price class of requests: its price and its targets. A less urgent class has later targets and a price
 * that is not higher.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name that callers use
 * @param microsPerToken the price of one prompt or output token, in millionths of the currency unit
 * @param ttftMillis the target for the time to first token, in milliseconds
 * @param tbtMillis the target for the time between tokens, in milliseconds
 * @param maxWaitMillis the maximum wait before the prefill starts, in milliseconds; after it the request is refused
 */
public record PriceClass(String name, long microsPerToken, long ttftMillis, long tbtMillis, long maxWaitMillis) {

    /**
     * Computes the price of a request.
     *
     * @param promptTokens the length of the prompt in tokens
     * @param outputTokens the length of the output in tokens
     * @return the price in millionths of the currency unit
     */
    public long getPriceMicros(int promptTokens, int outputTokens) {
        return microsPerToken * ((long) promptTokens + outputTokens);
    }
}
