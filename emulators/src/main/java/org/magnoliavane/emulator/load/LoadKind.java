package org.magnoliavane.emulator.load;

import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;

/** Kinds of requests that a load run sends. */
enum LoadKind {
    /** Chats only. */
    CHAT,
    /** Bookings only. */
    BOOKING,
    /** Chats and bookings with equal probability. */
    MIXED;

    static Optional<LoadKind> parse(String text) {
        for (LoadKind kind : values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(text)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    boolean isBooking(SplittableRandom random) {
        return this == BOOKING || (this == MIXED && random.nextBoolean());
    }
}
