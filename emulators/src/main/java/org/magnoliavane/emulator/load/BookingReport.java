package org.magnoliavane.emulator.load;

/**
 * Tells how a booking ended.
 *
 * @param key the idempotency key
 * @param ran {@code yes}, {@code no} or {@code unknown} by the final answer; {@code unanswered} when there was none
 * @param crossed whether the answer belongs to another key
 * @param retryAfter whether an error named the time after which the caller may come back
 * @param repeats the number of times that the call was sent again
 * @param millis the time from the arrival to the final answer
 */
record BookingReport(String key, String ran, boolean crossed, boolean retryAfter, int repeats, double millis) {}
