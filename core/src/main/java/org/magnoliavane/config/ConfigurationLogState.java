package org.magnoliavane.config;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.magnoliavane.config.ConfigurationRecord.Publication;
import org.magnoliavane.config.ConfigurationRecord.Snapshot;
import org.magnoliavane.config.RecordOutcome.Kind;

/**
 * Holds the state of a reader of the stream {@code configuration}, which is replayed in offset order. Readers that have
 * applied all records up to the same offset have the same version, wherever they started.
 *
 * <p>A publication is accepted when its base is the current version and its text is valid. A reader that has missed
 * records, because retention has removed them, accepts no publication until a snapshot or a peer provides the state at
 * an offset after which the reader has all records. The version never decreases.
 *
 * <p>Immutable and thread-safe.
 */
public final class ConfigurationLogState {
    private static final int MAX_REASON_LENGTH = 300;
    private static final ConfigurationLogState INITIAL =
            new ConfigurationLogState(Optional.empty(), 0, 0, 0, true, RecordCounts.ZERO);

    private final Optional<AcceptedConfiguration> current;
    private final long appliedOffset;
    private final long nextOffset;
    private final long firstOffset;
    private final boolean complete;
    private final RecordCounts counts;

    private ConfigurationLogState(
            Optional<AcceptedConfiguration> current,
            long appliedOffset,
            long nextOffset,
            long firstOffset,
            boolean complete,
            RecordCounts counts) {
        this.current = current;
        this.appliedOffset = appliedOffset;
        this.nextOffset = nextOffset;
        this.firstOffset = firstOffset;
        this.complete = complete;
        this.counts = counts;
    }

    /**
     * Gets the state of a reader that has read nothing.
     *
     * @return the state
     */
    public static ConfigurationLogState initial() {
        return INITIAL;
    }

    /**
     * Finds the current version.
     *
     * @return the version in force; empty when nothing has been accepted or the reader does not know it
     */
    public Optional<AcceptedConfiguration> findCurrent() {
        return current;
    }

    /**
     * Gets the number of the version in force.
     *
     * @return the version; 0 when there is none
     */
    public long getVersion() {
        return current.map(c -> c.configuration().version()).orElse(0L);
    }

    /**
     * Gets the offset before which all records have been applied to the current version. When {@link #isComplete} is
     * false, later records that this reader has missed may have been accepted.
     *
     * @return the offset of the first record that has not been applied
     */
    public long getAppliedOffset() {
        return appliedOffset;
    }

    /**
     * Gets the offset from which to read on.
     *
     * @return the offset of the next record to read
     */
    public long getNextOffset() {
        return nextOffset;
    }

    /**
     * Returns whether all records before the next offset have been applied to the current version.
     *
     * @return false while records are missing
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Gets the counts of records by outcome.
     *
     * @return the counts; a record that is read twice is counted once
     */
    public RecordCounts getCounts() {
        return counts;
    }

    /**
     * Returns the state after a page of the stream. When a snapshot makes the reader go back to an earlier offset, the
     * rest of the page is skipped; the caller must continue to read at {@link #getNextOffset}.
     *
     * @param first the offset of the oldest record that the log service still has
     * @param records the records, in offset order
     * @param outcomes receives the outcome of each record
     * @return the state after the page
     */
    public ConfigurationLogState withPage(long first, List<StreamRecord> records, Consumer<RecordOutcome> outcomes) {
        ConfigurationLogState state = withFirstOffset(first);
        for (StreamRecord record : records) {
            if (record.offset() < state.nextOffset) {
                continue;
            }
            ReplayStep step = state.apply(record);
            state = step.state();
            if (!state.counts.isCounted(step.outcome())) {
                state = state.withOutcomeCounted(step.outcome());
                outcomes.accept(step.outcome());
            }
            if (state.nextOffset <= record.offset()) {
                break;
            }
        }
        return state;
    }

    /**
     * Returns the state after a report of a peer on its state. A state that is not newer than this one is ignored.
     *
     * @param version the version that the peer has in force
     * @param offset the applied offset of the peer
     * @param text the TOML text of that version
     * @return the state; this one when the report is ignored
     */
    public ConfigurationLogState withPeerState(long version, long offset, String text) {
        boolean newer = complete ? version > getVersion() : version >= getVersion();
        if (version < 1 || offset <= appliedOffset || !newer || contradicts(version, text)) {
            return this;
        }
        Either<List<TextProblem>, Configuration> parsed = ConfigurationText.parse(text, version);
        if (parsed.isLeft()) {
            return this;
        }
        Optional<AcceptedConfiguration> accepted = Optional.of(new AcceptedConfiguration(parsed.get(), text));
        if (offset < firstOffset) {
            return new ConfigurationLogState(accepted, offset, nextOffset, firstOffset, complete, counts);
        }
        return new ConfigurationLogState(accepted, offset, offset, firstOffset, true, counts);
    }

    private ConfigurationLogState withFirstOffset(long first) {
        if (first <= nextOffset) {
            return new ConfigurationLogState(
                    current, appliedOffset, nextOffset, Math.max(first, firstOffset), complete, counts);
        }
        return new ConfigurationLogState(current, appliedOffset, first, first, false, counts);
    }

    private ReplayStep apply(StreamRecord record) {
        Either<String, ConfigurationRecord> parsed = ConfigurationRecord.parse(record.data());
        if (parsed.isLeft()) {
            return skip(Kind.UNREADABLE, record, Optional.empty(), parsed.getLeft());
        }
        if (parsed.get() instanceof Publication publication) {
            return applyPublication(record, publication);
        }
        return applySnapshot(record, (Snapshot) parsed.get());
    }

    private ReplayStep applyPublication(StreamRecord record, Publication publication) {
        Optional<ConfigurationRecord> decoded = Optional.of(publication);
        if (!complete) {
            return skip(
                    Kind.UNDECIDED,
                    record,
                    decoded,
                    "earlier records have been removed and no snapshot has been found");
        }
        if (publication.base() != getVersion()) {
            return skip(
                    Kind.REJECTED,
                    record,
                    decoded,
                    "base is " + publication.base() + ", but the current version is " + getVersion());
        }
        if (publication.version() != publication.base() + 1) {
            return skip(Kind.REJECTED, record, decoded, "version " + publication.version() + " is not base + 1");
        }
        Either<List<TextProblem>, Configuration> checked =
                ConfigurationText.parse(publication.text(), publication.version());
        if (checked.isLeft()) {
            return skip(Kind.REJECTED, record, decoded, toReason(checked.getLeft()));
        }
        long next = record.offset() + 1;
        AcceptedConfiguration accepted = new AcceptedConfiguration(checked.get(), publication.text());
        return new ReplayStep(
                new ConfigurationLogState(Optional.of(accepted), next, next, firstOffset, true, counts),
                new RecordOutcome(Kind.ACCEPTED, record.offset(), decoded, "version " + publication.version()));
    }

    private ReplayStep applySnapshot(StreamRecord record, Snapshot snapshot) {
        Optional<ConfigurationRecord> decoded = Optional.of(snapshot);
        if (snapshot.version() < 1 || snapshot.asOf() < -1 || snapshot.asOf() >= record.offset()) {
            return skip(Kind.REJECTED, record, decoded, "version or as_of is out of range");
        }
        if (contradicts(snapshot.version(), snapshot.text())) {
            return skip(
                    Kind.REJECTED, record, decoded, "another text is already known as version " + snapshot.version());
        }
        if (complete) {
            return snapshot.version() > getVersion()
                    ? skip(Kind.REJECTED, record, decoded, "version " + snapshot.version() + " was never accepted")
                    : skip(Kind.SNAPSHOT, record, decoded, "version " + snapshot.version() + " repeated");
        }
        if (snapshot.asOf() + 1 < firstOffset) {
            return skip(
                    Kind.UNDECIDED,
                    record,
                    decoded,
                    "records after as_of " + snapshot.asOf() + " have been removed; the oldest is " + firstOffset);
        }
        if (snapshot.version() < getVersion()) {
            return skip(Kind.REJECTED, record, decoded, "version " + getVersion() + " is already known");
        }
        return adoptSnapshot(record, snapshot);
    }

    private ReplayStep adoptSnapshot(StreamRecord record, Snapshot snapshot) {
        Optional<ConfigurationRecord> decoded = Optional.of(snapshot);
        Either<List<TextProblem>, Configuration> checked = ConfigurationText.parse(snapshot.text(), snapshot.version());
        if (checked.isLeft()) {
            return skip(Kind.REJECTED, record, decoded, toReason(checked.getLeft()));
        }
        long next = snapshot.asOf() + 1;
        AcceptedConfiguration accepted = new AcceptedConfiguration(checked.get(), snapshot.text());
        return new ReplayStep(
                new ConfigurationLogState(Optional.of(accepted), next, next, firstOffset, true, counts),
                new RecordOutcome(
                        Kind.SNAPSHOT,
                        record.offset(),
                        decoded,
                        "version " + snapshot.version() + " adopted as of " + snapshot.asOf()));
    }

    private boolean contradicts(long version, String text) {
        return version == getVersion()
                && current.map(c -> !c.text().equals(text)).orElse(false);
    }

    private ReplayStep skip(Kind kind, StreamRecord record, Optional<ConfigurationRecord> decoded, String reason) {
        long next = record.offset() + 1;
        long applied = complete ? next : appliedOffset;
        return new ReplayStep(
                new ConfigurationLogState(current, applied, next, firstOffset, complete, counts),
                new RecordOutcome(kind, record.offset(), decoded, reason));
    }

    private ConfigurationLogState withOutcomeCounted(RecordOutcome outcome) {
        return new ConfigurationLogState(
                current, appliedOffset, nextOffset, firstOffset, complete, counts.withOutcome(outcome));
    }

    private static String toReason(List<TextProblem> problems) {
        String first = problems.get(0).toString();
        String shown = first.length() <= MAX_REASON_LENGTH ? first : first.substring(0, MAX_REASON_LENGTH) + "…";
        return problems.size() + (problems.size() == 1 ? " problem: " : " problems, the first: ") + shown;
    }

    @Override
    public String toString() {
        return "version " + getVersion() + " at offset " + appliedOffset + (complete ? "" : ", incomplete");
    }

    /** Holds the state after one record and the outcome of this record. */
    private record ReplayStep(ConfigurationLogState state, RecordOutcome outcome) {}
}
