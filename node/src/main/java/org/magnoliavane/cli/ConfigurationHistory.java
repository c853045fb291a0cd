package org.magnoliavane.cli;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.magnoliavane.config.AcceptedConfiguration;
import org.magnoliavane.config.ConfigurationLogState;
import org.magnoliavane.config.ConfigurationRecord;
import org.magnoliavane.config.ConfigurationRecord.Publication;
import org.magnoliavane.config.ConfigurationRecord.Snapshot;
import org.magnoliavane.config.RecordOutcome;
import org.magnoliavane.config.StreamRecord;
import org.magnoliavane.node.log.LogPage;
import org.magnoliavane.node.log.LogRecord;

/**
 * Replays the stream of configurations as nodes do. Retains an entry for each record, and the text of the current and of
 * one requested version.
 *
 * <p>Not thread-safe.
 */
final class ConfigurationHistory {
    private final ConfigurationStreamClient log;
    private final long requestedVersion;
    private final TreeMap<Long, HistoryEntry> entries = new TreeMap<>();
    private final Map<Long, Long> timestamps = new HashMap<>();
    private ConfigurationLogState logState = ConfigurationLogState.initial();
    private Optional<String> requestedText = Optional.empty();

    private ConfigurationHistory(ConfigurationStreamClient log, long requestedVersion) {
        this.log = log;
        this.requestedVersion = requestedVersion;
    }

    static ConfigurationHistory read(ConfigurationStreamClient log) throws CommandException, InterruptedException {
        return read(log, 0);
    }

    /** Reads the whole stream and retains the text of a requested version. */
    static ConfigurationHistory read(ConfigurationStreamClient log, long requestedVersion)
            throws CommandException, InterruptedException {
        ConfigurationHistory history = new ConfigurationHistory(log, requestedVersion);
        history.readNewRecords();
        return history;
    }

    /** Reads the records that have not been read yet, up to the end of the stream. */
    void readNewRecords() throws CommandException, InterruptedException {
        while (true) {
            LogPage page = log.read(logState.getNextOffset());
            timestamps.clear();
            page.records().forEach(r -> timestamps.put(r.offset(), r.timestampMillis()));
            List<StreamRecord> records =
                    page.records().stream().map(ConfigurationHistory::toRecord).toList();
            logState = logState.withPage(page.firstOffset(), records, this::addOutcome);
            if (page.records().isEmpty() || logState.getNextOffset() >= page.nextOffset()) {
                return;
            }
        }
    }

    ConfigurationLogState getLogState() {
        return logState;
    }

    long getVersion() {
        return logState.getVersion();
    }

    String getText() {
        return logState.findCurrent().map(AcceptedConfiguration::text).orElse("");
    }

    Optional<String> findRequestedText() {
        return requestedVersion == getVersion()
                ? logState.findCurrent().map(AcceptedConfiguration::text)
                : requestedText;
    }

    List<HistoryEntry> getEntries() {
        return List.copyOf(entries.values());
    }

    Optional<HistoryEntry> findEntry(long offset) {
        return Optional.ofNullable(entries.get(offset));
    }

    /** Finds the publication that was accepted as a version. */
    Optional<HistoryEntry> findAcceptedPublication(long version) {
        return entries.values().stream()
                .filter(e -> e.isAccepted() && e.version() == version)
                .findFirst();
    }

    /** Finds the publications with an id; there are several if the append was retried. */
    List<HistoryEntry> findById(String id) {
        return entries.values().stream().filter(e -> e.id().equals(id)).toList();
    }

    private void addOutcome(RecordOutcome outcome) {
        entries.put(outcome.offset(), HistoryEntry.of(outcome, timestamps.getOrDefault(outcome.offset(), 0L)));
        ConfigurationRecord record = outcome.record().orElse(null);
        if (record instanceof Publication publication
                && outcome.kind() == RecordOutcome.Kind.ACCEPTED
                && publication.version() == requestedVersion) {
            requestedText = Optional.of(publication.text());
        }
        if (record instanceof Snapshot snapshot
                && outcome.kind() == RecordOutcome.Kind.SNAPSHOT
                && snapshot.version() == requestedVersion) {
            requestedText = Optional.of(snapshot.text());
        }
    }

    private static StreamRecord toRecord(LogRecord entry) {
        return new StreamRecord(entry.offset(), entry.data());
    }
}
