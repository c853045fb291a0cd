package org.magnoliavane.node.dispatch;

import net.openhft.hashing.LongHashFunction;
import org.magnoliavane.config.Caller;
import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.config.PriceClass;

/**
 * Describes an admitted model request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the id of the request
 * @param caller the caller
 * @param service the name of the model service
 * @param settings the settings of the model service
 * @param model the model
 * @param priceClass the class of the request
 * @param prompt the rendered prompt
 * @param promptTokens the length of the prompt
 * @param expectedOutputTokens the expected length of the output
 * @param maxOutputTokens the largest length of the output
 * @param arrivalNanos the reading of {@link System#nanoTime} when the request arrived
 * @param deadlineMillis the time from the arrival within which the answer must be complete; 0 means no deadline
 */
public record ModelRequest(
        String request,
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
     * Gets a hash of who asks what. It covers the caller, because copies of new content run one after the other, which
     * must not delay other callers.
     *
     * @return the hash of the caller, the model and the prompt
     */
    public long getContentHash() {
        return HASH.hashChars(caller.name() + "\n" + model + "\n" + prompt);
    }

    /**
     * Returns a copy that continues an earlier request.
     *
     * @param earlier the id of the earlier request
     * @return the copy
     */
    public ModelRequest withRequest(String earlier) {
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
     * Gets the time since the arrival.
     *
     * @return the time in milliseconds
     */
    public long getElapsedMillis() {
        return (System.nanoTime() - arrivalNanos) / 1_000_000;
    }

    /**
     * Gets the time that is left of a duration that began at the arrival, cut at the deadline.
     *
     * @param millis the duration in milliseconds
     * @return the time left in milliseconds, at least 1
     */
    public long getLeftMillis(long millis) {
        long bounded = deadlineMillis > 0 ? Math.min(millis, deadlineMillis) : millis;
        return Math.max(1, bounded - getElapsedMillis());
    }
}
