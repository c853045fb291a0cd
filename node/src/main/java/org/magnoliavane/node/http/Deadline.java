package org.magnoliavane.node.http;

import io.vavr.control.Either;

/** Reads the deadline header. */
final class Deadline {
    static final String HEADER = "Magnoliavane-Deadline-Millis";

    private static final long MAX_MILLIS = 86_400_000;

    private Deadline() {}

    /** Gets the time within which the answer must be complete; 0 means no deadline. */
    static Either<ParamFault, Long> of(CallerExchange exchange) {
        String text = exchange.findHeader("magnoliavane-deadline-millis").orElse("0");
        long millis;
        try {
            millis = Long.parseLong(text);
        } catch (NumberFormatException e) {
            millis = -1;
        }
        if (millis < 0 || millis > MAX_MILLIS) {
            return Either.left(ParamFault.invalid(
                    HEADER,
                    HEADER + " is " + text + ", allowed are 1 to " + MAX_MILLIS,
                    "send the time that is left in milliseconds, or leave the header out"));
        }
        return Either.right(millis);
    }
}
