package org.magnoliavane.usage;

import java.util.OptionalLong;

import org.magnoliavane.routing.UsageCap;

/**
 * Counts the units of requests under a usage cap.
 *
 * <p>Thread-safe.
 */
public final class UsageUnits {
    /** Length of the window within which the cap and the tolerated excess are measured. */
    static final double WINDOW_SECONDS = 8;

    /** Part of the cap of a window that may be used beyond it, and further units; both are rules of the users' platform. */
    private static final double TOLERATED_PART = 0.1;

    private static final double TOLERATED_UNITS = 190_000;

    private UsageUnits() {}

    /**
     * Counts the units of a request.
     *
     * @param cap the cap
     * @param statedTokens the sum of prompt tokens and maximum output tokens; empty if the request states none
     * @return the units, at least 1 and at most what the cap permits in one window
     */
    public static long count(UsageCap cap, OptionalLong statedTokens) {
        return cap.unit() == UsageCap.Unit.REQUESTS ? 1 : limit(cap, statedTokens.orElse(cap.defaultTokens()));
    }

    /**
     * Limits units stated by a caller or a message to those of one window, so that a forged number neither adds to a bucket nor
     * blocks an organisation for longer than a window.
     *
     * @param cap the cap
     * @param units the stated units
     * @return the units, at least 1 and at most what the cap permits in one window
     */
    public static long limit(UsageCap cap, long units) {
        return (long) Math.max(1, Math.min(units, getWindowUnits(cap)));
    }

    /** Gets the units that may be used in a window beyond its cap, over all nodes. */
    static double getToleratedExcess(UsageCap cap) {
        return TOLERATED_PART * getWindowUnits(cap) + TOLERATED_UNITS;
    }

    private static double getWindowUnits(UsageCap cap) {
        return cap.unitsPerSecond() * WINDOW_SECONDS + cap.burst();
    }
}
