package org.magnoliavane.config;

import org.magnoliavane.config.RecordOutcome.Kind;

/**
 * Holds the numbers of records that a reader has read, by outcome.
 *
 * <p>Immutable and thread-safe.
 *
 * @param accepted the number of publications that became the current version
 * @param rejected the number of records without effect
 * @param unreadable the number of records that could not be parsed
 * @param countedOffset the offset of the first record that is not counted yet
 */
public record RecordCounts(long accepted, long rejected, long unreadable, long countedOffset) {
    static final RecordCounts ZERO = new RecordCounts(0, 0, 0, 0);

    /**
     * Returns whether the record is counted already. A record below the counted offset is read again only after a
     * snapshot or a peer has filled a gap. Before that no publication could be accepted or rejected, so a publication
     * with such an outcome is new.
     */
    boolean isCounted(RecordOutcome outcome) {
        boolean decidedPublication = (outcome.kind() == Kind.ACCEPTED || outcome.kind() == Kind.REJECTED)
                && outcome.record()
                        .filter(ConfigurationRecord.Publication.class::isInstance)
                        .isPresent();
        return outcome.offset() < countedOffset && !decidedPublication;
    }

    RecordCounts withOutcome(RecordOutcome outcome) {
        Kind kind = outcome.kind();
        return new RecordCounts(
                accepted + (kind == Kind.ACCEPTED ? 1 : 0),
                rejected + (kind == Kind.REJECTED ? 1 : 0),
                unreadable + (kind == Kind.UNREADABLE ? 1 : 0),
                Math.max(countedOffset, outcome.offset() + 1));
    }
}
