package org.magnoliavane.node.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Tracks whether the node is leaving, what it still has to answer, and when callers may last have learned its address.
 *
 * <p>Thread-safe.
 */
final class GracefulShutdown {
    /** Time after which other nodes no longer name a leaving node in their address answers. */
    static final long PROPAGATION_MILLIS = 3000;

    private final AtomicInteger active = new AtomicInteger();
    private final AtomicLong lastNamedNanos = new AtomicLong(System.nanoTime());
    private volatile boolean leaving;
    private volatile long leavingNanos;

    void start() {
        if (!leaving) {
            leavingNanos = System.nanoTime();
            leaving = true;
        }
    }

    boolean isLeaving() {
        return leaving;
    }

    int getActive() {
        return active.get();
    }

    void enter() {
        active.incrementAndGet();
    }

    void exit() {
        active.decrementAndGet();
    }

    /** Says whether an address answer may name this node, and notes the time if so. */
    boolean markNamed(BooleanSupplier allowed) {
        if (leaving || !allowed.getAsBoolean()) {
            return false;
        }
        lastNamedNanos.set(System.nanoTime());
        return true;
    }

    /** Says whether no caller can still hold a valid address of this node, and everything is answered. */
    boolean isComplete(long lifetimeSeconds) {
        long now = System.nanoTime();
        long lastNamed = Math.max(lastNamedNanos.get() - now, leavingNanos + PROPAGATION_MILLIS * 1_000_000 - now);
        boolean lapsed = -lastNamed >= lifetimeSeconds * 1_000_000_000L;
        return leaving && lapsed && active.get() == 0;
    }
}
