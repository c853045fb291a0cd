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
public final class AdmissionQueue<T> {
    private static final Comparator<Entry<?>> OLDEST_FIRST =
            Comparator.<Entry<?>>comparingLong(Entry::arrivalMillis).thenComparingLong(Entry::number);

    private final TreeSet<Entry<T>> punctual = new TreeSet<>(OLDEST_FIRST);
    private final TreeSet<Entry<T>> late = new TreeSet<>(OLDEST_FIRST);
    private long numbers;

    /**
     * Adds a request.
     *
     * @param request the request
     * @param arrivalMillis when it arrived
     * @param startByMillis when it must start to be on time
     * @return its seat, for {@link #remove}
     */
    public Entry<T> add(T request, long arrivalMillis, long startByMillis) {
        Entry<T> seat = new Entry<>(request, arrivalMillis, startByMillis, numbers++);
        punctual.add(seat);
        return seat;
    }

    /**
     * Gets the request that is next.
     *
     * @param nowMillis the current time
     * @return its seat; empty when none waits
     */
    public Optional<Entry<T>> peek(long nowMillis) {
        sortOut(nowMillis);
        TreeSet<Entry<T>> from = punctual.isEmpty() ? late : punctual;
        return from.isEmpty() ? Optional.empty() : Optional.of(from.first());
    }

    /**
     * Says whether a request waits that can still be on time.
     *
     * @param nowMillis the current time
     * @return true when one does
     */
    public boolean hasPunctual(long nowMillis) {
        sortOut(nowMillis);
        return !punctual.isEmpty();
    }

    private void sortOut(long nowMillis) {
        while (!punctual.isEmpty() && punctual.first().startByMillis < nowMillis) {
            late.add(punctual.pollFirst());
        }
    }

    /**
     * Removes a request.
     *
     * @param seat its seat
     */
    public void remove(Entry<T> seat) {
        punctual.remove(seat);
        late.remove(seat);
    }

    /**
     * Counts the requests that wait.
     *
     * @return the number of requests
     */
    public int size() {
        return punctual.size() + late.size();
    }

    /**
     * The place of a request.
     *
     * @param <T> the type of the request
     * @param request the request
     * @param arrivalMillis when it arrived
     * @param startByMillis when it must start to be on time
     * @param number tells requests of the same time apart
     */
    public record Entry<T>(T request, long arrivalMillis, long startByMillis, long number) {
        /**
         * Says whether it is too late for the request to be on time.
         *
         * @param nowMillis the current time
         * @return true when it is
         */
        public boolean isLate(long nowMillis) {
            return startByMillis < nowMillis;
        }
    }
}
