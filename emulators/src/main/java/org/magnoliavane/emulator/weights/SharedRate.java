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
final class SharedRate<R> {
    private static final double MILLIS_PER_SECOND = 1000;

    private final Map<R, Long> left = new LinkedHashMap<>();
    private double perSecond;
    private double carried;

    SharedRate(double perSecond) {
        this.perSecond = perSecond;
    }

    void setPerSecond(double value) {
        perSecond = value;
    }

    void add(R reader, long amount) {
        left.put(reader, amount);
    }

    void removeIf(Predicate<R> gone) {
        left.keySet().removeIf(gone);
    }

    boolean isWaiting(R reader) {
        return left.containsKey(reader);
    }

    /**
     * Gives each reader its share of a time; a reader that has got everything waits no more. Readers that want least go
     * first, so that what they leave over goes to the others.
     */
    Map<R, Long> share(long millis) {
        Map<R, Long> shares = new LinkedHashMap<>();
        if (left.isEmpty()) {
            carried = 0;
            return shares;
        }
        carried += perSecond * millis / MILLIS_PER_SECOND;
        int readers = left.size();
        List<Map.Entry<R, Long>> leastFirst = left.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .map(Map.Entry::copyOf)
                .toList();
        for (Map.Entry<R, Long> entry : leastFirst) {
            long share = Math.min(entry.getValue(), (long) (carried / readers));
            carried -= share;
            readers--;
            if (share > 0) {
                shares.put(entry.getKey(), share);
                left.merge(entry.getKey(), -share, Long::sum);
                left.values().removeIf(rest -> rest == 0);
            }
        }
        return shares;
    }
}
