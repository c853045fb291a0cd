package org.magnoliavane.pool;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps an exponentially decayed sum of the work that was granted to each partner in each price class.
 *
 * <p>Not thread-safe. Times are in microseconds.
 */
final class PartnerShares {
    private static final double HALF_LIFE_MICROS = 20_000_000;
    /** The time after which a partner without requests no longer counts for the equal share. */
    private static final long INACTIVITY_LIMIT_MICROS = 60_000_000;

    private record DecayedSum(double amount, long atMicros) {
        double computeAt(long now) {
            return amount * Math.exp(-Math.log(2) * (now - atMicros) / HALF_LIFE_MICROS);
        }
    }

    private final Map<String, Map<String, DecayedSum>> classes = new HashMap<>();

    /** Adds the cost of granted work; a cost of 0 records that the partner has requested work. */
    void add(PlacementRequest request, double cost, long now) {
        Map<String, DecayedSum> sums = classes.computeIfAbsent(request.priceClass(), c -> new LinkedHashMap<>());
        DecayedSum old = sums.get(request.partner());
        sums.put(request.partner(), new DecayedSum((old == null ? 0 : old.computeAt(now)) + cost, now));
    }

    /**
     * Computes the ratio of the partner's share of the work of its class to an equal share.
     *
     * @return the ratio; 1 while there are fewer than two partners or too little work to compare
     */
    double computeShareRatio(PlacementRequest request, long now) {
        Map<String, DecayedSum> sums = classes.get(request.priceClass());
        if (sums == null) {
            return 1;
        }
        sums.values().removeIf(each -> now - each.atMicros > INACTIVITY_LIMIT_MICROS);
        double total = 0;
        for (DecayedSum each : sums.values()) {
            total += each.computeAt(now);
        }
        DecayedSum own = sums.get(request.partner());
        if (sums.size() < 2 || total < 1 || own == null) {
            return 1;
        }
        return own.computeAt(now) * sums.size() / total;
    }
}
