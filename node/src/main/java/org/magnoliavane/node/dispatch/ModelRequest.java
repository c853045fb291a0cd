package org.magnoliavane.node.dispatch;

import net.openhft.hashing.LongHashFunction;
import org.magnoliavane.config.Caller;
import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.config.PriceClass;

/**
 * Describes a model request that was admitted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the request
 * @param caller the caller
 * @param service the name of the model service
 * @param settings the settings of the model service
 * @param model the model
 * @param priceClass the price class of the request
 * @param prompt the rendered prompt
 * @param promptTokens the length of the prompt in tokens
 * @param expectedOutputTokens the expected length of the output in tokens
 * @param maxOutputTokens the largest length of the output in tokens
 * @param arrivalNanos the arrival time of the request as {@link System#nanoTime}
 * @param deadlineMillis the time in milliseconds after the arrival by which the answer must be complete; 0 means no
 *     deadline
 */
public record ModelRequest(
        String id,
        Caller caller,
        String service,
        ModelSettings settings,
        String model,
        PriceClass priceClass,
        String prompt,
        int promptTokens,
        int expectedOutputTokens,
        int maxOutputTokens,
        long arrivalNanos,
        long deadlineMillis) {

    private static final LongHashFunction HASH = LongHashFunction.xx();

    /**
     * Gets the hash of the request content. It includes the caller, because copies of new content run one after the
     * other, which must not delay other callers.
     *
     * @return the hash of the caller, the model and the prompt
     */
    public long getContentHash() {
        return HASH.hashChars(caller.name() + "\n" + model + "\n" + prompt);
    }

    /**
     * Returns a copy with the id of an earlier request, which the copy continues.
     *
     * @param earlier the id of the earlier request
     * @return the copy
     */
    public ModelRequest withId(String earlier) {
        return new ModelRequest(
                earlier,
                caller,
                service,
                settings,
                model,
                priceClass,
                prompt,
                promptTokens,
                expectedOutputTokens,
                maxOutputTokens,
                arrivalNanos,
                deadlineMillis);
    }

    /**
     * Gets the time since the arrival of the request.
     *
     * @return the time in milliseconds
     */
    public long getElapsedMillis() {
        return (System.nanoTime() - arrivalNanos) / 1_000_000;
    }

    /**
     * Gets the remaining time of a duration that began at the arrival, limited by the deadline.
     *
     * @param millis the duration in milliseconds
     * @return the remaining time in milliseconds, at least 1
     */
    public long getRemainingMillis(long millis) {
        long bounded = deadlineMillis > 0 ? Math.min(millis, deadlineMillis) : millis;
        return Math.max(1, bounded - getElapsedMillis());
    }
}
