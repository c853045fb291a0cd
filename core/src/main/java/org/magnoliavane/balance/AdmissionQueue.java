package org.magnoliavane.balance;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Orders the requests that wait for free capacity at the workers of a service. Requests that can still be on time come
 * first, oldest first. Overdue requests, which have passed their latest start time but still deserve a response, use the
 * remaining capacity, also oldest first. A burst therefore delays only requests that are overdue in any case, and not those
 * that arrive after it.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the requests
 */
public final class AdmissionQueue<T> {
    private static final Comparator<Entry<?>> OLDEST_FIRST =
            Comparator.<Entry<?>>comparingLong(Entry::arrivalMillis).thenComparingLong(Entry::sequenceNumber);

    private final TreeSet<Entry<T>> onTime = new TreeSet<>(OLDEST_FIRST);
    private final TreeSet<Entry<T>> overdue = new TreeSet<>(OLDEST_FIRST);
    private long nextSequenceNumber;

    /**
     * Adds a request.
     *
     * @param request the request
     * @param arrivalMillis the arrival time, in milliseconds
     * @param latestStartMillis the latest start time at which the request is on time, in milliseconds
     * @return the entry of the request, for {@link #remove}
     */
    public Entry<T> add(T request, long arrivalMillis, long latestStartMillis) {
        Entry<T> entry = new Entry<>(request, arrivalMillis, latestStartMillis, nextSequenceNumber++);
        onTime.add(entry);
        return entry;
    }

    /**
     * Gets the next request without removing it.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the entry of the request; empty if the queue is empty
     */
    public Optional<Entry<T>> peek(long nowMillis) {
        return peek(0, nowMillis);
    }

    /**
     * Gets a request by its position in the order of admission without removing it.
     *
     * @param position the position; 0 for the next request
     * @param nowMillis the current time, in milliseconds
     * @return the entry of the request; empty if there are not as many requests
     */
    public Optional<Entry<T>> peek(int position, long nowMillis) {
        moveOverdue(nowMillis);
        return Stream.concat(onTime.stream(), overdue.stream()).skip(position).findFirst();
    }

    /**
     * Returns whether any waiting request can still be on time.
     *
     * @param nowMillis the current time, in milliseconds
     * @return true if there is such a request
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
     * @param entry the entry of the request
     */
    public void remove(Entry<T> entry) {
        onTime.remove(entry);
        overdue.remove(entry);
    }

    /**
     * Gets the number of waiting requests.
     *
     * @return the number of requests
     */
    public int size() {
        return onTime.size() + overdue.size();
    }

    /**
     * A waiting request.
     *
     * @param <T> the type of the request
     * @param request the request
     * @param arrivalMillis the arrival time, in milliseconds
     * @param latestStartMillis the latest start time at which the request is on time, in milliseconds
     * @param sequenceNumber orders requests with the same arrival time
     */
    public record Entry<T>(T request, long arrivalMillis, long latestStartMillis, long sequenceNumber) {
        /**
         * Returns whether the request has passed its latest start time.
         *
         * @param nowMillis the current time, in milliseconds
         * @return true if it can no longer be on time
         */
        public boolean isOverdue(long nowMillis) {
            return latestStartMillis < nowMillis;
        }
    }
}
