package org.magnoliavane.emulator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * Holds the options that all commands share.
 *
 * <p>Not thread-safe; options are read once at startup.
 */
public class CommandOptions {
    @Parameter(names = "--help", help = true, description = "Print the options and exit")
    private boolean help;

    /**
     * Parses a command line and checks its values.
     *
     * @param options receives the values
     * @param arguments the command line
     * @param <O> the type of the options
     * @return the options
     * @throws ParameterException when an option is unknown or a value is out of range
     */
    public static <O extends CommandOptions> O parse(O options, String... arguments) {
        JCommander.newBuilder().addObject(options).build().parse(arguments);
        if (!options.isHelp()) {
            options.check();
        }
        return options;
    }

    /**
     * Returns whether the help was asked for in place of a run.
     *
     * @return true when the command should print its options and exit
     */
    public final boolean isHelp() {
        return help;
    }

    /**
     * Checks the ranges of the values.
     *
     * @throws ParameterException when a value is out of range
     */
    protected void check() {
        // The options of this class need no checks beyond those of the parser.
    }

    /**
     * Checks the range of a value.
     *
     * @param name the name of the option
     * @param value the value
     * @param min the lowest valid value, inclusive
     * @param max the highest valid value, inclusive
     * @throws ParameterException when the value is out of range
     */
    protected static void checkRange(String name, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new ParameterException(name + " must be in " + min + " to " + max + ", got " + value);
        }
    }
}
