package org.magnoliavane.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;

/**
 * Base class of the commands. JCommander sets the annotated fields from the command line.
 */
abstract class OperatorCommand {
    @Parameter(names = "--json", description = "Print JSON instead of text")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "Print the options and examples of this command")
    private boolean help;

    boolean isJson() {
        return json;
    }

    boolean isHelp() {
        return help;
    }

    /** Gets examples for the help: the arguments after the name of the command. */
    abstract String[] getExamples();

    abstract Report run() throws CommandException, InterruptedException;

    static String readFile(Path file) throws CommandException {
        try {
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CommandException(Report.failure(
                    ExitStatus.USAGE,
                    file + " cannot be read as UTF-8: " + e,
                    "Name a file that exists and that you may read."));
        }
    }
}
