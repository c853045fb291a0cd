package org.magnoliavane.cli;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.beust.jcommander.converters.PathConverter;
import io.vavr.control.Either;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.config.ConfigurationText;
import org.magnoliavane.config.TextProblem;

/** Publishes a configuration as the next version. */
@Parameters(commandDescription = "Publish a configuration text and wait until it is accepted or rejected")
final class PublishCommand extends OperatorCommand {
    @Parameter(description = "FILE", required = true, converter = PathConverter.class)
    private Path file;

    @ParametersDelegate
    private final LogOptions log = new LogOptions();

    @Parameter(names = "--base", description = "Version on which the text is based; default: the current version")
    private Long base;

    @Parameter(names = "--author", description = "Name in the history; default: the user name")
    private String author;

    @Parameter(names = "--dry-run", description = "Check everything, but publish nothing")
    private boolean dryRun;

    @Parameter(names = "--diff", description = "Print the difference from the current text")
    private boolean diff;

    @Parameter(
            names = "--restore",
            description = "Start a new history with this version; only when the log service and all nodes lost it")
    private Long restore;

    @Override
    String[] getExamples() {
        return new String[] {
            "site.toml --log http://192.0.2.7:7070 --diff --dry-run",
            "site.toml --log http://192.0.2.7:7070 --base 17 --author ann",
        };
    }

    @Override
    Report run() throws CommandException, InterruptedException {
        String text = readFile(file);
        Either<List<TextProblem>, Configuration> checked = ConfigurationText.parse(text, 0);
        if (checked.isLeft()) {
            return Report.problems(file.toString(), checked.getLeft());
        }
        return log.runWithLog(l -> publish(l, text));
    }

    private Report publish(ConfigurationStreamClient service, String text)
            throws CommandException, InterruptedException {
        ConfigurationHistory history = ConfigurationHistory.read(service);
        Publisher publisher = Publisher.of(service, history, author);
        if (restore != null) {
            return restore(history, publisher, text);
        }
        Publisher.awaitComplete(service, history);
        // Publishing reads further records, so the difference is computed first.
        String lines = diff ? TextDiff.diff(history.getText(), text) : "";
        Report report = publishText(history, publisher, text);
        if (!diff) {
            return report;
        }
        return new Report(report.status(), lines + report.text(), report.json()).with("diff", lines);
    }

    private Report publishText(ConfigurationHistory history, Publisher publisher, String text)
            throws CommandException, InterruptedException {
        long current = history.getVersion();
        if (base != null && base != current) {
            return createStaleBaseReport(history, current);
        }
        if (history.getText().equals(text)) {
            return Report.of(ExitStatus.OK, "version " + current + " already has this text; nothing published")
                    .with("version", current);
        }
        if (dryRun) {
            return Report.of(ExitStatus.OK, "the text is valid and would become version " + (current + 1))
                    .with("version", current + 1);
        }
        return publisher.publish(text);
    }

    private Report createStaleBaseReport(ConfigurationHistory history, long current) {
        if (base < current && history.findAcceptedPublication(base + 1).isPresent()) {
            return Publisher.createConflictReport(
                    base, history.findAcceptedPublication(base + 1).get());
        }
        return Report.failure(
                ExitStatus.CONFLICT,
                "nothing was published: base is " + base + ", but the current version is " + current,
                "Get the current text (show), merge your change into it, and publish with --base " + current + ".");
    }

    private Report restore(ConfigurationHistory history, Publisher publisher, String text)
            throws CommandException, InterruptedException {
        if (history.getLogState().isComplete()) {
            return Report.failure(
                    ExitStatus.FAILED,
                    "nothing was restored: the stream still contains the current version " + history.getVersion(),
                    "Publish without --restore.");
        }
        if (restore < 1) {
            return Report.failure(
                    ExitStatus.USAGE, "--restore: " + restore + " is not a version", "Give a number from 1 on.");
        }
        return publisher.restore(text, restore);
    }
}
