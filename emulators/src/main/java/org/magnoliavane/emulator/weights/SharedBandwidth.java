package org.magnoliavane.emulator.weights;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Distributes a bandwidth evenly over the readers that have not received their whole amount yet.
 *
 * <p>Not thread-safe.
 *
 * @param <R> the type of a reader
 */
final class SharedBandwidth<R> {
    private static final double MILLIS_PER_SECOND = 1000;

    private final Map<R, Long> remainingByReader = new LinkedHashMap<>();
    private double perSecond;
    private double carriedOver;

    SharedBandwidth(double perSecond) {
        this.perSecond = perSecond;
    }

    void setPerSecond(double value) {
        perSecond = value;
    }

    void add(R reader, long amount) {
        remainingByReader.put(reader, amount);
    }

    void removeIf(Predicate<R> isClosed) {
        remainingByReader.keySet().removeIf(isClosed);
    }

    boolean hasRemaining(R reader) {
        return remainingByReader.containsKey(reader);
    }

    /**
     * Distributes the bandwidth of a time in milliseconds and returns the amount for each reader that receives any.
     * Readers with the smallest remaining amounts are served first, so that the part of their share that they do not
     * need goes to the others. A reader that has received its whole amount is removed.
     */
    Map<R, Long> distribute(long millis) {
        Map<R, Long> shares = new LinkedHashMap<>();
        if (remainingByReader.isEmpty()) {
            carriedOver = 0;
            return shares;
        }
        carriedOver += perSecond * millis / MILLIS_PER_SECOND;
        int unserved = remainingByReader.size();
        List<Map.Entry<R, Long>> smallestFirst = remainingByReader.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .map(Map.Entry::copyOf)
                .toList();
        for (Map.Entry<R, Long> entry : smallestFirst) {
            long share = Math.min(entry.getValue(), (long) (carriedOver / unserved));
            carriedOver -= share;
            unserved--;
            if (share > 0) {
                shares.put(entry.getKey(), share);
                remainingByReader.merge(entry.getKey(), -share, Long::sum);
                remainingByReader.values().removeIf(remaining -> remaining == 0);
            }
        }
        return shares;
    }
}
