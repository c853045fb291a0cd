package org.magnoliavane.cli;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.magnoliavane.config.ConfigurationLogState;
import org.magnoliavane.config.ConfigurationRecord;
import org.magnoliavane.config.ConfigurationRecord.Publication;
import org.magnoliavane.config.ConfigurationRecord.Snapshot;
import org.magnoliavane.node.log.LogUnavailableException;

/**
 * Publishes a configuration and waits until it is accepted or rejected.
 *
 * <p>Not thread-safe.
 */
final class Publisher {
    private final ConfigurationStreamClient log;
    private final ConfigurationHistory history;
    private final String author;

    private Publisher(ConfigurationStreamClient log, ConfigurationHistory history, String author) {
        this.log = log;
        this.history = history;
        this.author = author;
    }

    /**
     * Creates a publisher.
     *
     * @param log the client of the stream
     * @param history the history, which has been read to the end of the stream
     * @param author the name in the history, or null for the name of the user
     */
    static Publisher of(ConfigurationStreamClient log, ConfigurationHistory history, String author) {
        return new Publisher(log, history, author == null ? System.getProperty("user.name", "") : author);
    }

    /** Publishes a text that is based on the current version. */
    Report publish(String text) throws CommandException, InterruptedException {
        long base = history.getVersion();
        String id = UUID.randomUUID().toString();
        byte[] record = new Publication(base, base + 1, text, author, id).toBytes();
        boolean outcomeUnknown = false;
        while (true) {
            try {
                return resolveOutcome(base, id, Optional.of(log.append(record)));
            } catch (LogUnavailableException e) {
                outcomeUnknown |= e.isOutcomeUnknown();
                if (log.isDeadlineReached()) {
                    return createUnreachableReport(base, id, outcomeUnknown, e);
                }
            }
            log.pauseBeforeRetry();
            history.readNewRecords();
            // A retry of the append is safe: of several records with the same base, at most one is accepted.
            if (!history.findById(id).isEmpty() || history.getVersion() > base) {
                return resolveOutcome(base, id, Optional.empty());
            }
        }
    }

    private Report resolveOutcome(long base, String id, Optional<Long> offset)
            throws CommandException, InterruptedException {
        history.readNewRecords();
        List<HistoryEntry> own = history.findById(id);
        Optional<HistoryEntry> accepted =
                own.stream().filter(HistoryEntry::isAccepted).findFirst();
        if (accepted.isPresent()) {
            return createAcceptedReport(accepted.get());
        }
        Optional<HistoryEntry> winner = history.findAcceptedPublication(base + 1);
        if (winner.isPresent()) {
            return createConflictReport(base, winner.get());
        }
        String reason = own.isEmpty()
                ? "the record at offset " + offset.orElse(-1L) + " is not in the stream"
                : own.get(0).reason();
        return Report.failure(
                ExitStatus.FAILED,
                "rejected: " + reason,
                "Run the command history, correct the text and publish again.");
    }

    private static Report createAcceptedReport(HistoryEntry entry) {
        String text = "version " + entry.version() + " accepted at offset " + entry.offset()
                + "; nodes that reach the log service have it in force within 3 s (command status)";
        return Report.of(ExitStatus.OK, text)
                .with("version", entry.version())
                .with("offset", entry.offset())
                .with("id", entry.id());
    }

    static Report createConflictReport(long base, HistoryEntry winner) {
        String message = "not accepted: version " + winner.version() + " was published first on base " + base + ", by "
                + (winner.author().isEmpty() ? "an unnamed author" : winner.author()) + " at "
                + Instant.ofEpochMilli(winner.timestampMillis()) + " (offset " + winner.offset() + ")";
        String remedy =
                "Get the current text (show), merge your change into it, and publish with the base of that text.";
        return Report.failure(ExitStatus.CONFLICT, message, remedy).with("winner", winner);
    }

    private static Report createUnreachableReport(
            long base, String id, boolean outcomeUnknown, LogUnavailableException cause) {
        if (!outcomeUnknown) {
            return Report.failure(
                    ExitStatus.UNREACHABLE,
                    "nothing was published: " + cause.getMessage(),
                    "Publish again when the log service answers.");
        }
        return Report.failure(
                        ExitStatus.UNREACHABLE,
                        "it is not known whether version " + (base + 1) + " was published: " + cause.getMessage(),
                        "When the log service answers, look for the id " + id
                                + " with the command history before you publish again.")
                .with("id", id);
    }

    /** Starts a new history by a snapshot, after the log service and all nodes have lost the current version. */
    Report restore(String text, long version) throws CommandException, InterruptedException {
        ConfigurationLogState logState = history.getLogState();
        byte[] record = new Snapshot(version, logState.getNextOffset() - 1, text).toBytes();
        try {
            log.append(record);
        } catch (LogUnavailableException e) {
            return Report.failure(
                    ExitStatus.UNREACHABLE, e.getMessage(), "Run the command history before you restore again.");
        }
        history.readNewRecords();
        if (history.getLogState().isComplete() && history.getText().equals(text)) {
            return Report.of(ExitStatus.OK, "version " + version + " restored").with("version", version);
        }
        return Report.failure(
                ExitStatus.CONFLICT,
                "not restored: " + history.getLogState(),
                "Get the current text (show); another operator may have restored first.");
    }

    /**
     * Waits until the stream contains the current version. After an outage of the log service, retention may have removed
     * the last snapshot before a node was able to append the next one, which then follows within seconds.
     */
    static void awaitComplete(ConfigurationStreamClient log, ConfigurationHistory history)
            throws CommandException, InterruptedException {
        while (!history.getLogState().isComplete()) {
            if (!log.isDeadlineReached()) {
                log.pauseBeforeRetry();
                history.readNewRecords();
                continue;
            }
            throw new CommandException(Report.failure(
                    ExitStatus.FAILED,
                    "the stream " + ConfigurationRecord.STREAM
                            + " contains neither the records up to the current version nor a snapshot",
                    "Start a node that knows the version, and it will append a snapshot; when no node knows it, "
                            + "run: publish FILE --restore VERSION, with a version above any that was in force."));
        }
    }
}
