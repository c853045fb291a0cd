package org.magnoliavane.node.http;

import io.vavr.control.Either;

/** Parses the deadline header. */
final class DeadlineHeader {
    static final String NAME = "Magnoliavane-Deadline-Millis";

    private static final long MAX_MILLIS = 86_400_000;

    private DeadlineHeader() {}

    /** Gets the time within which the response must be complete, in milliseconds; 0 means no deadline. */
    static Either<ParamFault, Long> parseTimeoutMillis(CallerExchange exchange) {
        String text = exchange.findHeader("magnoliavane-deadline-millis").orElse("0");
        long millis;
        try {
            millis = Long.parseLong(text);
        } catch (NumberFormatException e) {
            millis = -1;
        }
        if (millis < 0 || millis > MAX_MILLIS) {
            return Either.left(ParamFault.invalid(
                    NAME,
                    NAME + " is " + text + ", allowed are 1 to " + MAX_MILLIS,
                    "send the remaining time in milliseconds, or omit the header"));
        }
        return Either.right(millis);
    }
}
