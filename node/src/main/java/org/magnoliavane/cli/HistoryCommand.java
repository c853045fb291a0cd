package org.magnoliavane.cli;

import java.time.Instant;
import java.util.List;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Lists the records of the stream of configurations. */
@Parameters(commandDescription = "List publications and snapshots, with the outcome of each")
final class HistoryCommand extends OperatorCommand {
    @ParametersDelegate
    private final LogOptions log = new LogOptions();

    @Override
    String[] getExamples() {
        return new String[] {"--log http://192.0.2.7:7070", "--log http://192.0.2.7:7070 --json"};
    }

    @Override
    Report run() throws CommandException, InterruptedException {
        return log.runWithLog(this::list);
    }

    private Report list(ConfigurationStreamClient service) throws CommandException, InterruptedException {
        ConfigurationHistory history = ConfigurationHistory.read(service);
        List<HistoryEntry> entries = history.getEntries();
        TextTable table = new TextTable("offset", "time", "outcome", "version", "author", "id", "reason");
        for (HistoryEntry entry : entries) {
            table.addRow(
                    entry.offset(),
                    Instant.ofEpochMilli(entry.timestampMillis()),
                    entry.getOutcomeName(),
                    entry.version(),
                    entry.author(),
                    entry.id(),
                    entry.reason());
        }
        return Report.of(ExitStatus.OK, table + "current: " + history.getLogState())
                .without("message")
                .with("version", history.getVersion())
                .with("complete", history.getLogState().isComplete())
                .with("records", entries);
    }
}
