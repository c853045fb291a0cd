package org.magnoliavane.config;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.magnoliavane.config.ConfigurationRecord.Publication;
import org.magnoliavane.config.ConfigurationRecord.Snapshot;
import org.magnoliavane.config.RecordOutcome.Kind;

/**
 * Folds the records of the stream {@code configuration} in offset order to the current version. Readers that have
 * folded up to the same offset have the same version, wherever they started.
 *
 * <p>A publication is accepted when its base is the current version and its text passes the checks. A reader that has
 * missed records, because retention removed them, accepts no publication until a snapshot or a peer tells it the state
 * at an offset from which on it has every record. The version never falls.
 *
 * <p>Immutable and thread-safe.
 */
public final class ConfigurationLogState {
    private static final int MAX_REASON = 300;
    private static final ConfigurationLogState START =
            new ConfigurationLogState(Optional.empty(), 0, 0, 0, true, RecordCounts.ZERO);

    private final Optional<AcceptedConfiguration> current;
    private final long decidedOffset;
    private final long nextOffset;
    private final long firstOffset;
    private final boolean complete;
    private final RecordCounts counts;

    private ConfigurationLogState(
            Optional<AcceptedConfiguration> current,
            long decidedOffset,
            long nextOffset,
            long firstOffset,
            boolean complete,
            RecordCounts counts) {
        this.current = current;
        this.decidedOffset = decidedOffset;
        this.nextOffset = nextOffset;
        this.firstOffset = firstOffset;
        this.complete = complete;
        this.counts = counts;
    }

    /**
     * Gets the fold of a reader that has read nothing.
     *
     * @return the fold
     */
    public static ConfigurationLogState initial() {
        return START;
    }

    /**
     * Finds the current version.
     *
     * @return the version in force, or empty when nothing has been accepted or the reader does not know it
     */
    public Optional<AcceptedConfiguration> findCurrent() {
        return current;
    }

    /**
     * Gets the version in force.
     *
     * @return the version; 0 when there is none
     */
    public long getVersion() {
        return current.map(c -> c.configuration().version()).orElse(0L);
    }

    /**
     * Gets the offset before which every record is taken into account in the current version. When
     * {@link #isComplete} is false, later records may have been accepted that this reader has missed.
     *
     * @return the offset of the first record that is not taken into account
     */
    public long getAppliedOffset() {
        return decidedOffset;
    }

    /**
     * Gets the offset from which to read on.
     *
     * @return the offset of the next record wanted
     */
    public long getNextOffset() {
        return nextOffset;
    }

    /**
     * Says whether the current version takes every record before the next offset into account.
     *
     * @return false while records are missing
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Gets the numbers of records by outcome.
     *
     * @return the counts; a record that is read twice counts once
     */
    public RecordCounts getCounts() {
        return counts;
    }

    /**
     * Returns the fold after a page of the stream. When a snapshot leads back to an earlier offset, the rest of the page
     * is left out; read on from {@link #getNextOffset}.
     *
     * @param first the offset of the oldest record that the log service still has
     * @param records the records, in offset order
     * @param outcomes receives what was done with each record
     * @return the fold after the page
     */
    public ConfigurationLogState withPage(long first, List<StreamRecord> records, Consumer<RecordOutcome> outcomes) {
        ConfigurationLogState fold = withFirstOffset(first);
        for (StreamRecord record : records) {
            if (record.offset() < fold.nextOffset) {
                continue;
            }
            FoldStep step = fold.fold(record);
            fold = step.fold();
            if (!fold.counts.isCounted(step.outcome())) {
                fold = fold.withCounted(step.outcome());
                outcomes.accept(step.outcome());
            }
            if (fold.nextOffset <= record.offset()) {
                break;
            }
        }
        return fold;
    }

    /**
     * Returns the fold after a peer has told its state. A state that is not newer than this one changes nothing.
     *
     * @param version the version that the peer has in force
     * @param offset the decided offset of the peer
     * @param text the text of that version
     * @return the fold, which is this one when the state is of no use
     */
    public ConfigurationLogState withPeerState(long version, long offset, String text) {
        boolean newer = complete ? version > getVersion() : version >= getVersion();
        if (version < 1 || offset <= decidedOffset || !newer || contradicts(version, text)) {
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
                    current, decidedOffset, nextOffset, Math.max(first, firstOffset), complete, counts);
        }
        return new ConfigurationLogState(current, decidedOffset, first, first, false, counts);
    }

    private FoldStep fold(StreamRecord record) {
        Either<String, ConfigurationRecord> parsed = ConfigurationRecord.parse(record.data());
        if (parsed.isLeft()) {
            return skip(Kind.UNREADABLE, record, Optional.empty(), parsed.getLeft());
        }
        if (parsed.get() instanceof Publication publication) {
            return foldPublication(record, publication);
        }
        return foldSnapshot(record, (Snapshot) parsed.get());
    }

    private FoldStep foldPublication(StreamRecord record, Publication publication) {
        Optional<ConfigurationRecord> self = Optional.of(publication);
        if (!complete) {
            return skip(
                    Kind.UNDECIDED, record, self, "earlier records have been removed and no snapshot has been found");
        }
        if (publication.base() != getVersion()) {
            return skip(
                    Kind.REJECTED,
                    record,
                    self,
                    "base is " + publication.base() + ", but the current version is " + getVersion());
        }
        if (publication.version() != publication.base() + 1) {
            return skip(Kind.REJECTED, record, self, "version " + publication.version() + " is not base + 1");
        }
        Either<List<TextProblem>, Configuration> checked =
                ConfigurationText.parse(publication.text(), publication.version());
        if (checked.isLeft()) {
            return skip(Kind.REJECTED, record, self, toReason(checked.getLeft()));
        }
        long next = record.offset() + 1;
        AcceptedConfiguration accepted = new AcceptedConfiguration(checked.get(), publication.text());
        return new FoldStep(
                new ConfigurationLogState(Optional.of(accepted), next, next, firstOffset, true, counts),
                new RecordOutcome(Kind.ACCEPTED, record.offset(), self, "version " + publication.version()));
    }

    private FoldStep foldSnapshot(StreamRecord record, Snapshot snapshot) {
        Optional<ConfigurationRecord> self = Optional.of(snapshot);
        if (snapshot.version() < 1 || snapshot.asOf() < -1 || snapshot.asOf() >= record.offset()) {
            return skip(Kind.REJECTED, record, self, "version or as_of is out of range");
        }
        if (contradicts(snapshot.version(), snapshot.text())) {
            return skip(Kind.REJECTED, record, self, "another text is already known as version " + snapshot.version());
        }
        if (complete) {
            return snapshot.version() > getVersion()
                    ? skip(Kind.REJECTED, record, self, "version " + snapshot.version() + " was never accepted")
                    : skip(Kind.SNAPSHOT, record, self, "version " + snapshot.version() + " repeated");
        }
        if (snapshot.asOf() + 1 < firstOffset) {
            return skip(
                    Kind.UNDECIDED,
                    record,
                    self,
                    "records after as_of " + snapshot.asOf() + " have been removed; the oldest is " + firstOffset);
        }
        if (snapshot.version() < getVersion()) {
            return skip(Kind.REJECTED, record, self, "version " + getVersion() + " is already known");
        }
        return adopt(record, snapshot);
    }

    private FoldStep adopt(StreamRecord record, Snapshot snapshot) {
        Optional<ConfigurationRecord> self = Optional.of(snapshot);
        Either<List<TextProblem>, Configuration> checked = ConfigurationText.parse(snapshot.text(), snapshot.version());
        if (checked.isLeft()) {
            return skip(Kind.REJECTED, record, self, toReason(checked.getLeft()));
        }
        long next = snapshot.asOf() + 1;
        AcceptedConfiguration accepted = new AcceptedConfiguration(checked.get(), snapshot.text());
        return new FoldStep(
                new ConfigurationLogState(Optional.of(accepted), next, next, firstOffset, true, counts),
                new RecordOutcome(
                        Kind.SNAPSHOT,
                        record.offset(),
                        self,
                        "version " + snapshot.version() + " taken as of " + snapshot.asOf()));
    }

    private boolean contradicts(long version, String text) {
        return version == getVersion()
                && current.map(c -> !c.text().equals(text)).orElse(false);
    }

    private FoldStep skip(Kind kind, StreamRecord record, Optional<ConfigurationRecord> self, String reason) {
        long next = record.offset() + 1;
        long decided = complete ? next : decidedOffset;
        return new FoldStep(
                new ConfigurationLogState(current, decided, next, firstOffset, complete, counts),
                new RecordOutcome(kind, record.offset(), self, reason));
    }

    private ConfigurationLogState withCounted(RecordOutcome outcome) {
        return new ConfigurationLogState(
                current, decidedOffset, nextOffset, firstOffset, complete, counts.withOutcome(outcome));
    }

    private static String toReason(List<TextProblem> problems) {
        String first = problems.get(0).toString();
        String shown = first.length() <= MAX_REASON ? first : first.substring(0, MAX_REASON) + "…";
        return problems.size() + (problems.size() == 1 ? " problem: " : " problems, the first: ") + shown;
    }

    @Override
    public String toString() {
        return "version " + getVersion() + " at offset " + decidedOffset + (complete ? "" : ", incomplete");
    }

    /** Fold after one record, with what was done. */
    private record FoldStep(ConfigurationLogState fold, RecordOutcome outcome) {}
}
