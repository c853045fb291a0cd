package org.magnoliavane.usage;

/**
 * A token bucket that permits a debt: a request larger than the capacity is granted when the bucket is full, so that no size is
 * refused for ever, and the next one when the debt has been paid.
 *
 * <p>Not thread-safe.
 */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private double unitsPerSecond;
    private double capacity;
    private double level;
    private long lastMillis;

    private TokenBucket(double unitsPerSecond, double capacity, double level, long nowMillis) {
        this.unitsPerSecond = unitsPerSecond;
        this.capacity = capacity;
        this.level = level;
        this.lastMillis = nowMillis;
    }

    static TokenBucket create(double unitsPerSecond, double capacity, double level, long nowMillis) {
        return new TokenBucket(unitsPerSecond, capacity, Math.min(level, capacity), nowMillis);
    }

    /** Changes rate and capacity; what exceeds the new capacity is lost. */
    void setLimits(double newUnitsPerSecond, double newCapacity, long nowMillis) {
        refill(nowMillis);
        unitsPerSecond = newUnitsPerSecond;
        capacity = newCapacity;
        level = Math.min(level, capacity);
    }

    boolean tryTake(double units, long nowMillis) {
        refill(nowMillis);
        if (level < Math.min(units, capacity)) {
            return false;
        }
        level -= units;
        return true;
    }

    /** Takes units whether or not there is room, but leaves no larger debt than the given one. */
    void take(double units, double maxDebt, long nowMillis) {
        refill(nowMillis);
        level = Math.max(level - units, Math.min(level, -maxDebt));
    }

    void add(double units, long nowMillis) {
        refill(nowMillis);
        level = Math.min(capacity, level + units);
    }

    double getLevel(long nowMillis) {
        refill(nowMillis);
        return level;
    }

    double getCapacity() {
        return capacity;
    }

    /** Gets the time until a request has room; 0 if it has. */
    double getMillisUntil(double units, long nowMillis) {
        refill(nowMillis);
        return Math.max(0, (Math.min(units, capacity) - level) / unitsPerSecond * MILLIS_PER_SECOND);
    }

    private void refill(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - lastMillis);
        level = Math.min(capacity, level + unitsPerSecond * elapsedMillis / MILLIS_PER_SECOND);
        lastMillis = Math.max(lastMillis, nowMillis);
    }
}
