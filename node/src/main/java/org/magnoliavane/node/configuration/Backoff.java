package org.magnoliavane.node.configuration;

import java.util.random.RandomGenerator;

/**
 * Computes randomized delays between retries by exponential backoff. Each retry doubles the upper bound of the delay, and
 * a delay is at least half of the bound.
 *
 * <p>Not thread-safe.
 */
final class Backoff {
    private static final long INITIAL_MILLIS = 100;
    // A change must be in force within 3 s after the log service is reachable again.
    private static final long MAX_MILLIS = 1000;

    private final RandomGenerator random;
    private long boundMillis = INITIAL_MILLIS;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    long nextDelayMillis() {
        long half = boundMillis / 2;
        boundMillis = Math.min(MAX_MILLIS, 2 * boundMillis);
        return half + random.nextLong(half + 1);
    }

    void reset() {
        boundMillis = INITIAL_MILLIS;
    }
}
