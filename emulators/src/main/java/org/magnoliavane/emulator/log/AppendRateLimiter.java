package org.magnoliavane.emulator.log;

/**
 * Limits the rate of appends with a token bucket. The bucket holds the tokens of a tenth of a second, but at least one.
 *
 * <p>Not thread-safe.
 */
final class AppendRateLimiter {
    private static final double BURST_SECONDS = 0.1;
    private static final double MILLIS_PER_SECOND = 1000;

    private double perSecond;
    private double tokens;
    private long lastMillis;

    AppendRateLimiter(double perSecond, long nowMillis) {
        this.lastMillis = nowMillis;
        setPerSecond(perSecond);
        this.tokens = getBurstTokens();
    }

    void setPerSecond(double value) {
        perSecond = value;
    }

    boolean tryAcquire(long nowMillis) {
        long elapsed = Math.max(0, nowMillis - lastMillis);
        tokens = Math.min(getBurstTokens(), tokens + elapsed * perSecond / MILLIS_PER_SECOND);
        lastMillis = nowMillis;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private double getBurstTokens() {
        return Math.max(1, perSecond * BURST_SECONDS);
    }
}
