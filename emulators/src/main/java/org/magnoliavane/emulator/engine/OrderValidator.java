package org.magnoliavane.emulator.engine;

import java.util.Optional;

import org.magnoliavane.emulator.engine.EngineRequests.Order;
import org.magnoliavane.emulator.http.ErrorResponse;

/**
 * Decides whether an order is still valid: its end of validity has not passed and, if the engine checks it, its fencing
 * number is not below the highest one seen.
 *
 * <p>Not thread-safe.
 */
final class OrderValidator {
    private static final int CONFLICT = 409;

    private boolean fencingChecked;
    private long highestFencingToken = Long.MIN_VALUE;

    OrderValidator(boolean checked) {
        this.fencingChecked = checked;
    }

    void setFencingChecked(boolean value) {
        fencingChecked = value;
    }

    /** Checks an order; empty when it may be carried out. */
    Optional<ErrorResponse> findError(Order order, long epochMillis) {
        if (order.validUntilMillis() > 0 && order.validUntilMillis() < epochMillis) {
            return Optional.of(new ErrorResponse(
                    CONFLICT,
                    "expired_order",
                    "the order was valid until " + order.validUntilMillis() + ", it is " + epochMillis));
        }
        if (fencingChecked && order.fencing() < highestFencingToken) {
            return Optional.of(new ErrorResponse(
                    CONFLICT,
                    "stale_fencing",
                    "fencing number " + order.fencing() + " is below " + highestFencingToken));
        }
        highestFencingToken = Math.max(highestFencingToken, order.fencing());
        return Optional.empty();
    }
}
