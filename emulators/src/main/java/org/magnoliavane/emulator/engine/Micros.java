package org.magnoliavane.emulator.engine;

/** Converts the times of the time model, which are in microseconds. */
final class Micros {
    /** Time of an event that does not happen. */
    static final long NEVER = Long.MAX_VALUE;

    private static final double PER_MILLI = 1000;
    private static final double PER_SECOND = 1_000_000;

    private Micros() {}

    static long ofMillis(double millis) {
        return Math.round(millis * PER_MILLI);
    }

    static long toMillis(long micros) {
        return Math.round(micros / PER_MILLI);
    }

    /** Computes the time that a number of units takes at a rate per second. */
    static long durationOf(double units, double perSecond) {
        return Math.round(units / perSecond * PER_SECOND);
    }
}
