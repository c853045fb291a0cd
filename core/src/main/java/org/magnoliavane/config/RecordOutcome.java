package org.magnoliavane.config;

import java.util.Locale;
import java.util.Optional;

/**
 * Says what a fold did with one record.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind what was done
 * @param offset the offset of the record
 * @param record the record; empty when it is unreadable
 * @param reason why
 */
public record RecordOutcome(Kind kind, long offset, Optional<ConfigurationRecord> record, String reason) {

    /** Kinds of outcomes. */
    public enum Kind {
        /** The publication is now the current version. */
        ACCEPTED,
        /** The record has no effect, at any reader. */
        REJECTED,
        /** The record cannot be read and is skipped. */
        UNREADABLE,
        /** The snapshot agrees with what is known, or has now become the state of this reader. */
        SNAPSHOT,
        /** This reader cannot judge the record, because records before it have been removed. */
        UNDECIDED
    }

    @Override
    public String toString() {
        return "configuration record " + offset + " " + kind.name().toLowerCase(Locale.ROOT) + ": " + reason;
    }
}
