package org.magnoliavane.systemtest.bookings;

import java.util.Random;

/** Waits for a time. */
final class Pauses {
    private Pauses() {}

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    static void sleepBetween(Random random, int fromMillis, int toMillis) {
        sleep(fromMillis + random.nextInt(toMillis - fromMillis));
    }
}
