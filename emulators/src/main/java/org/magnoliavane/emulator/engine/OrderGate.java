package org.magnoliavane.emulator.engine;

import java.util.Optional;

import org.magnoliavane.emulator.engine.EngineRequests.Order;
import org.magnoliavane.emulator.http.Refusal;

/**
 * Decides whether an order is still valid: its end of validity has not passed and, if the engine checks it, its fencing
 * number is not below the highest one seen.
 *
 * <p>Not thread-safe.
 */
final class OrderGate {
    private static final int CONFLICT = 409;

    private boolean checked;
    private long highest = Long.MIN_VALUE;

    OrderGate(boolean checked) {
        this.checked = checked;
    }

    void setChecked(boolean value) {
        checked = value;
    }

    /** Checks an order; empty when it may be carried out. */
    Optional<Refusal> check(Order order, long epochMillis) {
        if (order.validUntilMillis() > 0 && order.validUntilMillis() < epochMillis) {
            return Optional.of(new Refusal(
                    CONFLICT,
                    "expired_order",
                    "the order was valid until " + order.validUntilMillis() + ", it is " + epochMillis));
        }
        if (checked && order.fencing() < highest) {
            return Optional.of(new Refusal(
                    CONFLICT, "stale_fencing", "fencing number " + order.fencing() + " is below " + highest));
        }
        highest = Math.max(highest, order.fencing());
        return Optional.empty();
    }
}
