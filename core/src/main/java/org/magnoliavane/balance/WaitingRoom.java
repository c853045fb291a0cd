package org.magnoliavane.balance;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Orders the requests that wait for room at the workers of a service. Those that can still be on time go first, the oldest
 * before the others; late ones, which are worth less but still worth an answer, take what is left, the oldest first. So a
 * burst delays the requests that it made late anyway and not those that come after it.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the requests
 */
public final class WaitingRoom<T> {
    private static final Comparator<Seat<?>> OLDEST_FIRST =
            Comparator.<Seat<?>>comparingLong(Seat::arrivalMillis).thenComparingLong(Seat::sequenceNumber);

    private final TreeSet<Seat<T>> onTime = new TreeSet<>(OLDEST_FIRST);
    private final TreeSet<Seat<T>> overdue = new TreeSet<>(OLDEST_FIRST);
    private long nextSequenceNumber;

    /**
     * Adds a request.
     *
     * @param request the request
     * @param arrivalMillis when it arrived
     * @param startByMillis when it must start to be on time
     * @return its seat, for {@link #remove}
     */
    public Seat<T> add(T request, long arrivalMillis, long startByMillis) {
        Seat<T> seat = new Seat<>(request, arrivalMillis, startByMillis, nextSequenceNumber++);
        onTime.add(seat);
        return seat;
    }

    /**
     * Gets the request that is next.
     *
     * @param nowMillis the current time
     * @return its seat; empty when none waits
     */
    public Optional<Seat<T>> peek(long nowMillis) {
        moveOverdue(nowMillis);
        TreeSet<Seat<T>> from = onTime.isEmpty() ? overdue : onTime;
        return from.isEmpty() ? Optional.empty() : Optional.of(from.first());
    }

    /**
     * Says whether a request waits that can still be on time.
     *
     * @param nowMillis the current time
     * @return true when one does
     */
    public boolean hasOnTime(long nowMillis) {
        moveOverdue(nowMillis);
        return !onTime.isEmpty();
    }

    private void moveOverdue(long nowMillis) {
        while (!onTime.isEmpty() && onTime.first().latestStartMillis < nowMillis) {
            overdue.add(onTime.pollFirst());
        }
    }

    /**
     * Removes a request.
     *
     * @param seat its seat
     */
    public void remove(Seat<T> seat) {
        onTime.remove(seat);
        overdue.remove(seat);
    }

    /**
     * Counts the requests that wait.
     *
     * @return the number of requests
     */
    public int size() {
        return onTime.size() + overdue.size();
    }

    /**
     * The place of a request.
     *
     * @param <T> the type of the request
     * @param request the request
     * @param arrivalMillis when it arrived
     * @param latestStartMillis when it must start to be on time
     * @param sequenceNumber tells requests of the same time apart
     */
    public record Seat<T>(T request, long arrivalMillis, long latestStartMillis, long sequenceNumber) {
        /**
         * Says whether it is too late for the request to be on time.
         *
         * @param nowMillis the current time
         * @return true when it is
         */
        public boolean isOverdue(long nowMillis) {
            return latestStartMillis < nowMillis;
        }
    }
}
