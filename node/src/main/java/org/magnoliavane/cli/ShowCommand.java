package org.magnoliavane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Prints the configuration text of a version. */
@Parameters(commandDescription = "Print the text of the current or of an older version")
final class ShowCommand extends OperatorCommand {
    @ParametersDelegate
    private final LogOptions log = new LogOptions();

    @Parameter(names = "--version", description = "Version to print; default: the current one")
    private Long version;

    @Override
    String[] getExamples() {
        return new String[] {
            "--log http://192.0.2.7:7070 > site.toml", "--log http://192.0.2.7:7070 --version 16",
        };
    }

    @Override
    Report run() throws CommandException, InterruptedException {
        return log.runWithLog(this::show);
    }

    private Report show(ConfigurationStreamClient service) throws CommandException, InterruptedException {
        ConfigurationHistory history = ConfigurationHistory.read(service, version == null ? 0 : version);
        if (version == null) {
            Publisher.awaitComplete(service, history);
        }
        long requested = version == null ? history.getVersion() : version;
        if (requested == 0 && history.getVersion() == 0) {
            return Report.failure(ExitStatus.FAILED, "nothing has been published", "Publish a text (publish).");
        }
        String text = version == null
                ? history.getText()
                : history.findRequestedText().orElse(null);
        if (text == null) {
            return Report.failure(
                    ExitStatus.FAILED,
                    "version " + requested + " is not in the stream; the current version is " + history.getVersion(),
                    "See the command history for the versions that are left.");
        }
        return Report.of(ExitStatus.OK, text)
                .with("version", requested)
                .with("text", text)
                .without("message");
    }
}
