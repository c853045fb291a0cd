package org.magnoliavane.pool;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps an exponentially decayed sum of the work that each partner was granted in each class. Not thread-safe.
 */
final class PartnerShares {
    private static final double HALF_LIFE_MICROS = 20_000_000;
    private static final long FORGET_MICROS = 60_000_000;

    private record Sum(double amount, long atMicros) {
        double at(long now) {
            return amount * Math.exp(-Math.log(2) * (now - atMicros) / HALF_LIFE_MICROS);
        }
    }

    private final Map<String, Map<String, Sum>> classes = new HashMap<>();

    /** Adds granted work; an amount of 0 records that the partner asks for work. */
    void add(PlacementRequest request, double cost, long now) {
        Map<String, Sum> sums = classes.computeIfAbsent(request.priceClass(), c -> new LinkedHashMap<>());
        Sum old = sums.get(request.partner());
        sums.put(request.partner(), new Sum((old == null ? 0 : old.at(now)) + cost, now));
    }

    /** Gets the partner's share of the work of its class over an equal share; 1 while there is nothing to compare. */
    double ratio(PlacementRequest request, long now) {
        Map<String, Sum> sums = classes.get(request.priceClass());
        if (sums == null) {
            return 1;
        }
        sums.values().removeIf(each -> now - each.atMicros > FORGET_MICROS);
        double total = 0;
        for (Sum each : sums.values()) {
            total += each.at(now);
        }
        Sum own = sums.get(request.partner());
        if (sums.size() < 2 || total < 1 || own == null) {
            return 1;
        }
        return own.at(now) * sums.size() / total;
    }
}
