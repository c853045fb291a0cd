package org.magnoliavane.emulator.weights;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Shares a rate evenly over the readers that still wait for something.
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

    void removeIf(Predicate<R> gone) {
        remainingByReader.keySet().removeIf(gone);
    }

    boolean hasRemaining(R reader) {
        return remainingByReader.containsKey(reader);
    }

    /**
     * Gives each reader its share of a time; a reader that has got everything waits no more. Readers that want least go
     * first, so that what they leave over goes to the others.
     */
    Map<R, Long> distribute(long millis) {
        Map<R, Long> shares = new LinkedHashMap<>();
        if (remainingByReader.isEmpty()) {
            carriedOver = 0;
            return shares;
        }
        carriedOver += perSecond * millis / MILLIS_PER_SECOND;
        int readers = remainingByReader.size();
        List<Map.Entry<R, Long>> leastFirst = remainingByReader.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .map(Map.Entry::copyOf)
                .toList();
        for (Map.Entry<R, Long> entry : leastFirst) {
            long share = Math.min(entry.getValue(), (long) (carriedOver / readers));
            carriedOver -= share;
            readers--;
            if (share > 0) {
                shares.put(entry.getKey(), share);
                remainingByReader.merge(entry.getKey(), -share, Long::sum);
                remainingByReader.values().removeIf(rest -> rest == 0);
            }
        }
        return shares;
    }
}
