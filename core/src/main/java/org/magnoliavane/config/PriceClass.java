package org.magnoliavane.config;

/**
 * Describes a class of requests: its price and its targets. A patient class has a lower price and later targets.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name that callers use
 * @param microsPerToken the price of one prompt or output token, in millionths of the currency unit
 * @param ttftMillis the target for the time to first token
 * @param tbtMillis the target for the time between tokens
 * @param maxWaitMillis the upper bound of waiting before the prefill starts or the request is refused
 */
public record PriceClass(String name, long microsPerToken, long ttftMillis, long tbtMillis, long maxWaitMillis) {

    /**
     * Gets the price of an answer.
     *
     * @param promptTokens the length of the prompt
     * @param outputTokens the length of the output
     * @return the price in millionths of the currency unit
     */
    public long getPriceMicros(int promptTokens, int outputTokens) {
        return microsPerToken * ((long) promptTokens + outputTokens);
    }
}
