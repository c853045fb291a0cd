package org.magnoliavane.config;

import org.magnoliavane.config.RecordOutcome.Kind;

/**
 * Counts the records that a fold has read, by outcome.
 *
 * <p>Immutable and thread-safe.
 *
 * @param accepted the publications that became the current version
 * @param rejected the records without effect
 * @param unreadable the records that could not be read
 * @param countedOffset the offset of the first record that is not counted yet
 */
public record RecordCounts(long accepted, long rejected, long unreadable, long countedOffset) {
    static final RecordCounts ZERO = new RecordCounts(0, 0, 0, 0);

    /**
     * A record below the counted offset is read again only after a snapshot or a peer has filled a gap. Until then no
     * publication was judged, so a judged publication is new.
     */
    boolean isCounted(RecordOutcome outcome) {
        boolean judged = (outcome.kind() == Kind.ACCEPTED || outcome.kind() == Kind.REJECTED)
                && outcome.record()
                        .filter(ConfigurationRecord.Publication.class::isInstance)
                        .isPresent();
        return outcome.offset() < countedOffset && !judged;
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
