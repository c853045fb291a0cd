package org.magnoliavane.emulator.load;

/**
 * Reports how a booking ended, from the view of its caller.
 *
 * @param key the idempotency key
 * @param ran {@code yes}, {@code no} or {@code unknown} as the final response says; {@code unanswered} when there was
 *     none
 * @param crossed whether the response belongs to another key
 * @param retryAfter whether an error contained the time after which the caller may retry
 * @param repeats the number of retries
 * @param millis the time from the arrival to the final response, in milliseconds
 */
record BookingReport(String key, String ran, boolean crossed, boolean retryAfter, int repeats, double millis) {}
