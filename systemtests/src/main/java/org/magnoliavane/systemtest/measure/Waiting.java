package org.magnoliavane.systemtest.measure;

import java.util.function.BooleanSupplier;

/** Waits for time to pass or for a condition. */
final class Waiting {
    private static final long POLL_MILLIS = 5;

    private Waiting() {}

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Waits until a condition holds; false when it does not hold in time. */
    static boolean until(long millis, BooleanSupplier condition) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            sleep(POLL_MILLIS);
        }
        return true;
    }
}
