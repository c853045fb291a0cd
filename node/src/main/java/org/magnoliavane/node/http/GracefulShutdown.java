package org.magnoliavane.node.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Tracks whether the node is shutting down, how many requests are active, and when the address of the node was last
 * advertised to a caller.
 *
 * <p>Thread-safe.
 */
final class GracefulShutdown {
    /** Time after which other nodes no longer advertise the address of a node that is shutting down. */
    static final long PROPAGATION_MILLIS = 3000;

    private final AtomicInteger activeCount = new AtomicInteger();
    private final AtomicLong lastAdvertisedNanos = new AtomicLong(System.nanoTime());
    private volatile boolean shuttingDown;
    private volatile long startNanos;

    void start() {
        if (!shuttingDown) {
            startNanos = System.nanoTime();
            shuttingDown = true;
        }
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    int getActiveCount() {
        return activeCount.get();
    }

    void beginRequest() {
        activeCount.incrementAndGet();
    }

    void endRequest() {
        activeCount.decrementAndGet();
    }

    /**
     * Decides whether the address of this node may be advertised, and records the time if so.
     *
     * @param allowed states whether the configuration permits it
     * @return true when the address may be advertised
     */
    boolean tryAdvertise(BooleanSupplier allowed) {
        if (shuttingDown || !allowed.getAsBoolean()) {
            return false;
        }
        lastAdvertisedNanos.set(System.nanoTime());
        return true;
    }

    /**
     * Returns whether the advertised addresses of this node have expired at all callers and no request is active.
     *
     * @param lifetimeSeconds the time for which callers may cache an address, in seconds
     * @return true when the node may exit
     */
    boolean isComplete(long lifetimeSeconds) {
        long now = System.nanoTime();
        long lastAdvertised =
                Math.max(lastAdvertisedNanos.get() - now, startNanos + PROPAGATION_MILLIS * 1_000_000 - now);
        boolean expired = -lastAdvertised >= lifetimeSeconds * 1_000_000_000L;
        return shuttingDown && expired && activeCount.get() == 0;
    }
}
