package org.magnoliavane.systemtest.bookings;

import java.util.Random;

/** Suspends the current thread for a fixed or random duration. */
final class Sleeps {
    private Sleeps() {}

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
