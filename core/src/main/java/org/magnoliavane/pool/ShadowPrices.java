package org.magnoliavane.pool;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Prices the time of prefill workers and of decode memory by the recent offers.
 *
 * <p>The prices are those at which the offers of the recent window that are worth their cost just fit into the window.
 * They are 0 while all offers fit. A request that is not worth its cost takes capacity from several smaller ones that
 * are about to come, even when it fits into the present queue. Not thread-safe.
 */
final class ShadowPrices {
    private static final int MAX_OFFERS = 8192;
    private static final int MIN_OFFERS = 30;
    private static final int ROUNDS = 30;
    private static final double FIRST_STEP = 0.3;

    private record Offer(long atMicros, double prefill, double decode, double value) {}

    private final long windowMicros;
    private final Deque<Offer> offers = new ArrayDeque<>();
    private double prefillPrice;
    private double decodePrice;

    ShadowPrices(long windowMicros) {
        this.windowMicros = windowMicros;
    }

    /** Records an offer with its costs, as shares of the pool's time in microseconds. */
    void add(long now, double prefill, double decode, double value) {
        offers.addLast(new Offer(now, prefill, decode, value));
        if (offers.size() > MAX_OFFERS) {
            offers.removeFirst();
        }
    }

    /** Recomputes the prices. */
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
        double unit = values / Math.max(1, costs);
        for (int round = 0; round < ROUNDS; round++) {
            double prefill = 0;
            double decode = 0;
            for (Offer each : offers) {
                if (each.value >= prefillPrice * each.prefill + decodePrice * each.decode) {
                    prefill += each.prefill;
                    decode += each.decode;
                }
            }
            double step = unit * FIRST_STEP / (1 + round * FIRST_STEP);
            prefillPrice = Math.max(0, prefillPrice + step * limited(prefill / span - 1));
            decodePrice = Math.max(0, decodePrice + step * limited(decode / span - 1));
        }
    }

    private static double limited(double excess) {
        return Math.max(-1, Math.min(1, excess));
    }

    /** Gets the cost of a request at the current prices over its value; above 1 it is not worth its cost. */
    double costOverValue(double prefill, double decode, double value) {
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
