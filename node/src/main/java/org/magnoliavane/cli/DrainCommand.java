package org.magnoliavane.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;

/** Publishes the current configuration with one id added to or removed from the drain list. */
abstract class DrainCommand extends OperatorCommand {
    private static final int MAX_ATTEMPTS = 5;

    @Parameter(description = "node|worker ID", required = true)
    private List<String> arguments = new ArrayList<>();

    @ParametersDelegate
    private final LogOptions log = new LogOptions();

    @Parameter(names = "--author", description = "Name in the history; default: the user name")
    private String author;

    @Parameter(names = "--dry-run", description = "Print the change, but publish nothing")
    private boolean dryRun;

    private final boolean adding;

    DrainCommand(boolean adding) {
        this.adding = adding;
    }

    @Override
    String[] getExamples() {
        return new String[] {
            "node entry-3 --log http://192.0.2.7:7070", "worker decode-4 --log http://192.0.2.7:7070 --author ann",
        };
    }

    @Override
    Report run() throws CommandException, InterruptedException {
        if (arguments.size() != 2 || !List.of("node", "worker").contains(arguments.get(0))) {
            return Report.failure(
                    ExitStatus.USAGE,
                    "\"" + String.join(" ", arguments) + "\" does not name a node or a worker",
                    "Write: node ID, or: worker ID.");
        }
        return log.runWithLog(this::changeWithRetry);
    }

    private Report changeWithRetry(ConfigurationStreamClient service) throws CommandException, InterruptedException {
        DrainListEditor editor = new DrainListEditor(arguments.get(0).equals("node"), arguments.get(1));
        for (int attempt = 1; ; attempt++) {
            ConfigurationHistory history = ConfigurationHistory.read(service);
            Publisher.awaitComplete(service, history);
            Report report = changeOnCurrentVersion(service, history, editor);
            // The change applies to any version, so it can be retried after another publication came first.
            if (report.status() != ExitStatus.CONFLICT || attempt == MAX_ATTEMPTS) {
                return report;
            }
        }
    }

    private Report changeOnCurrentVersion(
            ConfigurationStreamClient service, ConfigurationHistory history, DrainListEditor editor)
            throws CommandException, InterruptedException {
        String text = history.getText();
        if (history.getVersion() == 0) {
            return Report.failure(ExitStatus.FAILED, "nothing has been published", "Publish a text first (publish).");
        }
        if (editor.contains(text) == adding) {
            String state = adding ? " is already in the drain list" : " is not in the drain list";
            return Report.of(ExitStatus.OK, arguments.get(1) + state + "; nothing published")
                    .with("version", history.getVersion());
        }
        Optional<String> changed = adding ? editor.add(text) : editor.remove(text);
        if (changed.isEmpty()) {
            return Report.failure(
                    ExitStatus.FAILED,
                    "the table [drain] of version " + history.getVersion() + " cannot be changed automatically, or \""
                            + arguments.get(1) + "\" is not a valid id",
                    "Get the text (show), change [drain] by hand, and publish it with --base " + history.getVersion()
                            + ".");
        }
        if (dryRun) {
            String lines = TextDiff.diff(text, changed.get());
            return Report.of(ExitStatus.OK, lines + "nothing published").with("diff", lines);
        }
        return Publisher.of(service, history, author).publish(changed.get());
    }
}
