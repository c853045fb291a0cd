package org.magnoliavane.balance;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds since when the store has served without an outage, as far as this node and the nodes that report to it know. A
 * node that could not read the store cannot tell its own disconnection from an outage; the others can.
 *
 * <p>Thread-safe.
 */
public final class StoreAvailability {
    private final long outageMillis;
    private Optional<Period> period = Optional.empty();
    private boolean outagePossible;

    private StoreAvailability(long outageMillis) {
        this.outageMillis = outageMillis;
    }

    /**
     * Creates an instance that knows nothing of the store.
     *
     * @param outageMillis the shortest time without a successful read of any node that counts as an outage, in milliseconds
     * @return the instance
     */
    public static StoreAvailability withMinimumOutage(long outageMillis) {
        return new StoreAvailability(outageMillis);
    }

    /**
     * Records that the store served during a period, which is extended by, or replaces, the known one.
     *
     * @param served the period
     */
    public synchronized void record(Period served) {
        if (period.isEmpty() || served.sinceMillis() - period.get().untilMillis() >= outageMillis) {
            outagePossible |= period.isPresent();
            period = Optional.of(served);
            return;
        }
        Period known = period.get();
        boolean beforeOutage = known.sinceMillis() - served.untilMillis() >= outageMillis;
        if (beforeOutage) {
            outagePossible = true;
            return;
        }
        period = Optional.of(new Period(
                Math.min(known.sinceMillis(), served.sinceMillis()),
                Math.max(known.untilMillis(), served.untilMillis())));
    }

    /** Forgets what is known, because time has passed that this node did not notice. */
    public synchronized void reset() {
        period = Optional.empty();
        outagePossible = true;
    }

    /**
     * Gets the latest period during which the store served without an outage.
     *
     * @return the period; empty if nothing is known
     */
    public synchronized Optional<Period> findPeriod() {
        return period;
    }

    /**
     * Gets the end of the latest outage, or of the time that this node did not notice. What a node knows since its start has
     * been listed after any outage before it.
     *
     * @return the time in milliseconds; empty if there was no outage since the node started
     */
    public synchronized OptionalLong findOutageEndMillis() {
        return period.filter(p -> outagePossible)
                .map(p -> OptionalLong.of(p.sinceMillis()))
                .orElse(OptionalLong.empty());
    }

    /**
     * A period, in milliseconds of the monotonic clock of this node.
     *
     * @param sinceMillis the time of the first successful read
     * @param untilMillis the time of the last successful read
     */
    public record Period(long sinceMillis, long untilMillis) {}
}
