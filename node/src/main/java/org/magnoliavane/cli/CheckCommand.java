package org.magnoliavane.cli;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import io.vavr.control.Either;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.config.ConfigurationText;
import org.magnoliavane.config.TextProblem;

/** Validates a configuration without publishing it. */
@Parameters(commandDescription = "Check a configuration text; reports every problem at once")
final class CheckCommand extends OperatorCommand {
    @Parameter(description = "FILE", required = true, converter = PathConverter.class)
    private Path file;

    @Override
    String[] getExamples() {
        return new String[] {"examples/wellenbund.toml", "site.toml --json"};
    }

    @Override
    Report run() throws CommandException {
        Either<List<TextProblem>, Configuration> checked = ConfigurationText.parse(readFile(file), 0);
        return checked.fold(problems -> Report.problems(file.toString(), problems), this::toReport);
    }

    private Report toReport(Configuration valid) {
        String text = file + ": valid; services: " + valid.services().size() + ", classes: "
                + valid.classes().size() + ", callers: " + valid.callers().size();
        return Report.of(ExitStatus.OK, text).with("valid", true).with("problems", List.of());
    }
}
