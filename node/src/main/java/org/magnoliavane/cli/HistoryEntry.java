package org.magnoliavane.cli;

import java.util.Locale;

import org.magnoliavane.config.ConfigurationRecord;
import org.magnoliavane.config.ConfigurationRecord.Publication;
import org.magnoliavane.config.ConfigurationRecord.Snapshot;
import org.magnoliavane.config.RecordOutcome;

/**
 * Describes a record of the stream of configurations, without its text.
 *
 * @param offset the offset of the record
 * @param timestampMillis the time of the append by the clock of the log service, in milliseconds since 1970
 * @param outcome the outcome of the record
 * @param version the version that the record publishes or repeats; 0 if the record is unreadable
 * @param author the author of a publication; empty for other records
 * @param id the id of the publication; empty for other records
 * @param reason the reason for the outcome
 */
record HistoryEntry(
        long offset,
        long timestampMillis,
        RecordOutcome.Kind outcome,
        long version,
        String author,
        String id,
        String reason) {

    static HistoryEntry of(RecordOutcome outcome, long timestampMillis) {
        ConfigurationRecord record = outcome.record().orElse(null);
        long version = 0;
        String author = "";
        String id = "";
        if (record instanceof Publication publication) {
            version = publication.version();
            author = publication.author();
            id = publication.id();
        } else if (record instanceof Snapshot snapshot) {
            version = snapshot.version();
        }
        return new HistoryEntry(
                outcome.offset(), timestampMillis, outcome.kind(), version, author, id, outcome.reason());
    }

    boolean isAccepted() {
        return outcome == RecordOutcome.Kind.ACCEPTED;
    }

    String getOutcomeName() {
        return outcome.name().toLowerCase(Locale.ROOT);
    }
}
