package org.magnoliavane.emulator.load;

import java.util.Map;

/**
 * Holds the result of a load run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param seed the seed
 * @param seconds the time from the start to the last final response, in seconds
 * @param requests the number of requests
 * @param chats the results of the chats
 * @param bookings the results of the bookings
 */
public record LoadResult(long seed, double seconds, int requests, Chats chats, Bookings bookings) {

    /**
     * Results of the chats.
     *
     * @param outcomes the number of chats by outcome, in the form of {@link ChatOutcome#toWire}
     * @param refusedWithRetryAfter the number of refused and failed chats whose error contained a retry time
     * @param errors the number of errors by kind
     * @param resumes the number of times that callers reconnected
     * @param good the number of complete answers that met both targets
     * @param goodPerSecond the number of good answers per second
     * @param ttftMillis the times to the first token
     * @param tbtMillis the times between tokens
     * @param classes the results by class
     */
    public record Chats(
            Map<String, Integer> outcomes,
            int refusedWithRetryAfter,
            Map<String, Integer> errors,
            int resumes,
            int good,
            double goodPerSecond,
            Percentiles ttftMillis,
            Percentiles tbtMillis,
            Map<String, ClassResult> classes) {

        /**
         * Counts the chats with an outcome.
         *
         * @param outcome the outcome
         * @return the number of chats
         */
        public int count(ChatOutcome outcome) {
            return outcomes.getOrDefault(outcome.toWire(), 0);
        }
    }

    /**
     * Results of the chats of a class.
     *
     * @param chats the number of chats
     * @param complete the number of complete answers
     * @param good the number of complete answers that met both targets
     */
    public record ClassResult(int chats, int complete, int good) {
        ClassResult plus(ClassResult other) {
            return new ClassResult(chats + other.chats, complete + other.complete, good + other.good);
        }
    }

    /**
     * Results of the bookings.
     *
     * @param ranYes the number of bookings whose final response says that they were executed
     * @param ranNo the number of bookings whose final response says that they were not executed
     * @param ranUnknown the number of bookings whose final response does not say whether they were executed
     * @param unanswered the number of bookings without a final response
     * @param crossed the number of responses that belong to another key
     * @param refusedWithRetryAfter the number of bookings whose final response was an error with a retry time
     * @param repeats the number of retries
     * @param millis the times to the final response
     * @param ranByKey the final outcomes by idempotency key
     */
    public record Bookings(
            int ranYes,
            int ranNo,
            int ranUnknown,
            int unanswered,
            int crossed,
            int refusedWithRetryAfter,
            int repeats,
            Percentiles millis,
            Map<String, String> ranByKey) {}

    /**
     * Percentiles of a time in milliseconds; all 0 when there are no values.
     *
     * @param count the number of values
     * @param p50 the median
     * @param p90 the 90th percentile
     * @param p95 the 95th percentile
     * @param p99 the 99th percentile
     * @param max the highest value
     */
    public record Percentiles(long count, double p50, double p90, double p95, double p99, double max) {}
}
