package org.magnoliavane.systemtest.measure;

import java.util.function.BooleanSupplier;

/** Waits for a duration or for a condition. */
final class Waits {
    private static final long POLL_INTERVAL_MILLIS = 5;

    private Waits() {}

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Waits until a condition holds. Returns false when it does not hold within the given time. */
    static boolean awaitCondition(long millis, BooleanSupplier condition) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            sleep(POLL_INTERVAL_MILLIS);
        }
        return true;
    }
}
