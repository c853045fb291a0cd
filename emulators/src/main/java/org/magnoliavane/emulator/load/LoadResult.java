package org.magnoliavane.emulator.load;

import java.util.Map;

/**
 * Holds the result of a load run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param seed the seed
 * @param seconds the time from the start to the last final answer
 * @param requests the number of requests
 * @param chats what became of the chats
 * @param bookings what became of the bookings
 */
public record LoadResult(long seed, double seconds, int requests, Chats chats, Bookings bookings) {

    /**
     * What became of the chats.
     *
     * @param outcomes the number of chats by outcome, in the form of {@link ChatOutcome#toWire}
     * @param refusedWithRetryAfter the refused and failed chats whose error named the time to come back
     * @param errors the number of errors by kind
     * @param resumes the number of times that callers went to a node again
     * @param good the complete answers that met both targets
     * @param goodPerSecond the good answers per second
     * @param ttftMillis the time to the first token
     * @param tbtMillis the time between tokens
     * @param classes the good answers and the number of chats by class
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
     * Chats of one class.
     *
     * @param chats the number of chats
     * @param complete the complete answers
     * @param good the complete answers that met both targets
     */
    public record ClassResult(int chats, int complete, int good) {
        ClassResult plus(ClassResult other) {
            return new ClassResult(chats + other.chats, complete + other.complete, good + other.good);
        }
    }

    /**
     * What became of the bookings.
     *
     * @param ranYes the bookings whose final answer says that they ran
     * @param ranNo the bookings whose final answer says that they did not run
     * @param ranUnknown the bookings whose final answer leaves it open
     * @param unanswered the bookings without a final answer
     * @param crossed the answers that belong to another key
     * @param refusedWithRetryAfter the bookings that did not run and whose error named the time to come back
     * @param repeats the number of times that callers sent a key again
     * @param millis the time to the final answer
     * @param ranByKey the final outcome by idempotency key
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
