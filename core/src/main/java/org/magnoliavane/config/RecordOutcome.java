package org.magnoliavane.config;

import java.util.Locale;
import java.util.Optional;

/**
 * Holds the outcome of one record.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind of the outcome
 * @param offset the offset of the record
 * @param record the record; empty when it is unreadable
 * @param reason the reason for the outcome
 */
public record RecordOutcome(Kind kind, long offset, Optional<ConfigurationRecord> record, String reason) {

    /** Kinds of outcomes. */
    public enum Kind {
        /** The publication is now the current version. */
        ACCEPTED,
        /** The record has no effect for any reader. */
        REJECTED,
        /** The record cannot be parsed and is skipped. */
        UNREADABLE,
        /** The snapshot agrees with the known state, or this reader has adopted it. */
        SNAPSHOT,
        /** This reader cannot validate the record, because records before it have been removed. */
        UNDECIDED
    }

    @Override
    public String toString() {
        return "configuration record " + offset + " " + kind.name().toLowerCase(Locale.ROOT) + ": " + reason;
    }
}
