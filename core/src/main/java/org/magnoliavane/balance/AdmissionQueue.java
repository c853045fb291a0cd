package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Orders the requests that wait for free capacity at the workers of a service. Requests that can still be on time come
 * first, by urgency and then by age. Overdue requests, which have passed their latest start time but still deserve a
 * response, use the remaining capacity in the same order. A burst therefore delays only requests that are overdue in any
 * case, and not those that arrive after it.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the requests
 */
public final class AdmissionQueue<T> {
    private static final Comparator<Entry<?>> OLDEST_FIRST =
            Comparator.<Entry<?>>comparingLong(Entry::arrivalMillis).thenComparingLong(Entry::sequenceNumber);

    private static final Comparator<Entry<?>> MOST_URGENT_FIRST =
            Comparator.<Entry<?>>comparingInt(Entry::urgency).thenComparing(OLDEST_FIRST);

    private final TreeSet<Entry<T>> onTime = new TreeSet<>(MOST_URGENT_FIRST);
    private final TreeSet<Entry<T>> overdue = new TreeSet<>(MOST_URGENT_FIRST);
    private long nextSequenceNumber;

    /**
     * Adds a request.
     *
     * @param request the request
     * @param urgency the rank in the order of admission; 0 is the most urgent
     * @param arrivalMillis the arrival time, in milliseconds
     * @param latestStartMillis the latest start time at which the request is on time, in milliseconds
     * @return the entry of the request, for {@link #remove}
     */
    public Entry<T> add(T request, int urgency, long arrivalMillis, long latestStartMillis) {
        Entry<T> entry = new Entry<>(request, urgency, arrivalMillis, latestStartMillis, nextSequenceNumber++);
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
        return peekFirst(1, nowMillis).stream().findFirst();
    }

    /**
     * Gets the first requests in the order of admission without removing them. The last of several is the oldest on-time
     * request, unless it is among the others, so that it is considered however many more urgent requests wait.
     *
     * @param count the largest number of requests
     * @param nowMillis the current time, in milliseconds
     * @return the entries of the requests
     */
    public List<Entry<T>> peekFirst(int count, long nowMillis) {
        moveOverdue(nowMillis);
        List<Entry<T>> first = new ArrayList<>(
                Stream.concat(onTime.stream(), overdue.stream()).limit(count).toList());
        if (count > 1 && first.size() == count) {
            onTime.stream()
                    .min(OLDEST_FIRST)
                    .filter(oldest -> !first.contains(oldest))
                    .ifPresent(oldest -> first.set(count - 1, oldest));
        }
        return first;
    }

    /**
     * Gets all waiting requests.
     *
     * @return the entries of the requests, in no particular order
     */
    public List<Entry<T>> getAll() {
        return Stream.concat(onTime.stream(), overdue.stream()).toList();
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

    /**
     * Counts the requests that precede a new on-time request. The queue is not changed.
     *
     * @param urgency the urgency of the new request
     * @param nowMillis the current time, in milliseconds
     * @return the number of on-time requests of the same or a higher urgency
     */
    public int countAhead(int urgency, long nowMillis) {
        return (int) onTime.stream()
                .filter(e -> e.urgency() <= urgency && !e.isOverdue(nowMillis))
                .count();
    }

    private void moveOverdue(long nowMillis) {
        for (Iterator<Entry<T>> i = onTime.iterator(); i.hasNext(); ) {
            Entry<T> entry = i.next();
            if (entry.isOverdue(nowMillis)) {
                i.remove();
                overdue.add(entry);
            }
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
     * @param urgency the rank in the order of admission; 0 is the most urgent
     * @param arrivalMillis the arrival time, in milliseconds
     * @param latestStartMillis the latest start time at which the request is on time, in milliseconds
     * @param sequenceNumber orders requests with the same arrival time
     */
    public record Entry<T>(T request, int urgency, long arrivalMillis, long latestStartMillis, long sequenceNumber) {
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
