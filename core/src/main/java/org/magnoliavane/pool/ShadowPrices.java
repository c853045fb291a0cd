package org.magnoliavane.pool;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Computes shadow prices for the time of prefill workers and of decode memory from recent requests.
 *
 * <p>At these prices the requests of the recent window whose value is at least their cost just fit into the capacity of
 * the window. The prices are 0 while all requests fit. A request whose cost exceeds its value would displace several
 * smaller requests that are likely to arrive soon, even when it fits into the present queue.
 *
 * <p>The prices are found by subgradient steps of decreasing size. Not thread-safe.
 */
final class ShadowPrices {
    private static final int MAX_OFFERS = 8192;
    private static final int MIN_OFFERS = 30;
    private static final int ITERATIONS = 30;
    private static final double INITIAL_STEP = 0.3;

    private record Offer(long atMicros, double prefill, double decode, double value) {}

    private final long windowMicros;
    private final Deque<Offer> offers = new ArrayDeque<>();
    private double prefillPrice;
    private double decodePrice;

    ShadowPrices(long windowMicros) {
        this.windowMicros = windowMicros;
    }

    /** Records an offered request with its costs, in microseconds of the whole pool's time. */
    void add(long now, double prefill, double decode, double value) {
        offers.addLast(new Offer(now, prefill, decode, value));
        if (offers.size() > MAX_OFFERS) {
            offers.removeFirst();
        }
    }

    /** Recomputes the prices from the requests of the window. */
    void update(long now, double capacityFactor) {
        while (!offers.isEmpty() && offers.peekFirst().atMicros < now - windowMicros) {
            offers.removeFirst();
        }
        if (offers.size() < MIN_OFFERS) {
            prefillPrice = 0;
            decodePrice = 0;
            return;
        }
        double span = Math.max(1, now - offers.peekFirst().atMicros) * capacityFactor;
        double values = 0;
        double costs = 0;
        for (Offer each : offers) {
            values += each.value;
            costs += each.prefill + each.decode;
        }
        double meanPrice = values / Math.max(1, costs);
        for (int iteration = 0; iteration < ITERATIONS; iteration++) {
            double prefill = 0;
            double decode = 0;
            for (Offer each : offers) {
                if (each.value >= prefillPrice * each.prefill + decodePrice * each.decode) {
                    prefill += each.prefill;
                    decode += each.decode;
                }
            }
            double step = meanPrice * INITIAL_STEP / (1 + iteration * INITIAL_STEP);
            prefillPrice = Math.max(0, prefillPrice + step * clamp(prefill / span - 1));
            decodePrice = Math.max(0, decodePrice + step * clamp(decode / span - 1));
        }
    }

    private static double clamp(double excess) {
        return Math.max(-1, Math.min(1, excess));
    }

    /** Computes the ratio of the cost of a request at the current prices to its value. */
    double computeCostToValueRatio(double prefill, double decode, double value) {
        return (prefillPrice * prefill + decodePrice * decode) / value;
    }

    boolean isZero() {
        return prefillPrice == 0 && decodePrice == 0;
    }

    @Override
    public String toString() {
        return prefillPrice + "/" + decodePrice;
    }
}
