package org.magnoliavane.emulator.engine;

import java.util.Optional;

import org.magnoliavane.emulator.engine.EngineRequests.Order;
import org.magnoliavane.emulator.http.ErrorResponse;

/**
 * Checks whether an order is valid: its end of validity must not have passed and, if the engine checks fencing tokens,
 * its token must not be lower than the highest one accepted so far.
 *
 * <p>Not thread-safe.
 */
final class OrderValidator {
    private static final int CONFLICT = 409;

    private boolean fencingChecked;
    private long highestFencingToken = Long.MIN_VALUE;

    OrderValidator(boolean fencingChecked) {
        this.fencingChecked = fencingChecked;
    }

    void setFencingChecked(boolean value) {
        fencingChecked = value;
    }

    /** Finds the reason to reject an order; empty when the order is valid. The token of a valid order is recorded. */
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
                    "fencing token " + order.fencing() + " is below " + highestFencingToken));
        }
        highestFencingToken = Math.max(highestFencingToken, order.fencing());
        return Optional.empty();
    }
}
