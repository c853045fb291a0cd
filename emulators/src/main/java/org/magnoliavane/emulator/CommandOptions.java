package org.magnoliavane.emulator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * Holds the options that all commands share.
 *
 * <p>Not thread-safe; options are read once, at start.
 */
public class CommandOptions {
    @Parameter(names = "--help", help = true, description = "Print the options and exit")
    private boolean help;

    /**
     * Parses a command line.
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
     * Says whether only the help is wanted.
     *
     * @return true for help
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
        // There is nothing to check besides what the parser has checked.
    }

    /**
     * Checks the range of a value.
     *
     * @param name the option
     * @param value the value
     * @param least the lowest valid value
     * @param most the highest valid value
     * @throws ParameterException when the value is out of range
     */
    protected static void checkRange(String name, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new ParameterException(name + " must be in " + least + " to " + most + ", got " + value);
        }
    }
}
