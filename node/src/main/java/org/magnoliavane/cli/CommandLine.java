package org.magnoliavane.cli;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.UnixStyleUsageFormatter;

/**
 * Parses the arguments of the process and runs the command that they specify.
 *
 * <p>Not thread-safe; use each instance once.
 */
public final class CommandLine {
    private static final String PROGRAM = "java -jar magnoliavane.jar";
    private static final String EXIT_STATUS_HELP =
            "Exit status: 0 done, 1 failed or rejected, 2 wrong usage, settings or text,\n"
                    + "3 log service, VM list or nodes not reachable, 4 another publication came first\n";

    private final Map<String, OperatorCommand> commands = new LinkedHashMap<>();
    private final PrintStream out;
    private final PrintStream err;

    @Parameter(names = "--help", help = true, description = "Print the commands")
    private boolean help;

    /**
     * Creates a command line.
     *
     * @param starter the starter of nodes, for the command {@code node}
     * @param out the stream for results
     * @param err the stream for errors
     */
    public CommandLine(NodeStarter starter, PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
        commands.put("node", new NodeCommand(starter));
        commands.put("route", new RouteCommand());
        commands.put("check", new CheckCommand());
        commands.put("publish", new PublishCommand());
        commands.put("show", new ShowCommand());
        commands.put("history", new HistoryCommand());
        commands.put("status", new StatusCommand());
        commands.put("drain", new DrainAddCommand());
        commands.put("undrain", new DrainRemoveCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("hash-key", new HashKeyCommand());
    }

    /**
     * Runs a command and waits until it ends.
     *
     * @param arguments the arguments of the process
     * @return the exit status
     */
    public int run(String... arguments) {
        JCommander parser = createParser(selectCommands(arguments));
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            String name = parser.getParsedCommand();
            err.println(e.getMessage());
            err.println("See: " + PROGRAM + (name == null ? "" : " " + name) + " --help");
            return ExitStatus.USAGE;
        }
        OperatorCommand command = commands.get(parser.getParsedCommand());
        if (help || command == null) {
            (help ? out : err).print(toUsage(parser));
            return help ? ExitStatus.OK : ExitStatus.USAGE;
        }
        if (command.isHelp()) {
            out.print(toUsage(parser, command));
            return ExitStatus.OK;
        }
        return print(command, run(command));
    }

    /**
     * Selects the command that the first argument names, or all commands if it names none. To describe the options of all
     * commands takes about a tenth of the processor time of a start.
     */
    private Map<String, OperatorCommand> selectCommands(String... arguments) {
        OperatorCommand named = arguments.length == 0 ? null : commands.get(arguments[0]);
        return named == null ? commands : Map.of(arguments[0], named);
    }

    private JCommander createParser(Map<String, OperatorCommand> selected) {
        JCommander.Builder builder =
                JCommander.newBuilder().programName(PROGRAM).addObject(this);
        selected.forEach(builder::addCommand);
        JCommander parser = builder.build();
        // A key or a file name may begin with @, by which JCommander recognizes files of arguments.
        parser.setExpandAtSign(false);
        parser.getCommands().values().forEach(c -> c.setExpandAtSign(false));
        return parser;
    }

    private static Report run(OperatorCommand command) {
        try {
            return command.run();
        } catch (CommandException e) {
            return e.getReport();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Report.failure(ExitStatus.FAILED, "interrupted", "Run the command history before you try again.");
        }
    }

    private int print(OperatorCommand command, Report report) {
        boolean toOut = command.isJson() || !report.isFailure();
        String text = report.toText(command.isJson());
        (toOut ? out : err).print(text.endsWith("\n") ? text : text + "\n");
        return report.status();
    }

    private static String toUsage(JCommander parser) {
        StringBuilder usage = new StringBuilder("Usage: " + PROGRAM + " COMMAND [OPTIONS]\n\nCommands:\n");
        parser.getCommands()
                .forEach((name, command) -> usage.append("  ")
                        .append(name)
                        .append(" ".repeat(10 - name.length()))
                        .append(parser.getUsageFormatter().getCommandDescription(name))
                        .append('\n'));
        return usage.append("\nSee COMMAND --help for options and examples.\n\n" + EXIT_STATUS_HELP)
                .toString();
    }

    private static String toUsage(JCommander parser, OperatorCommand command) {
        String name = parser.getParsedCommand();
        JCommander commandParser = parser.getCommands().get(name);
        StringBuilder usage = new StringBuilder();
        new UnixStyleUsageFormatter(commandParser).usage(usage);
        usage.append("\nExamples:\n");
        for (String example : command.getExamples()) {
            usage.append("  ")
                    .append(PROGRAM)
                    .append(' ')
                    .append(name)
                    .append(' ')
                    .append(example)
                    .append('\n');
        }
        return usage.append('\n').append(EXIT_STATUS_HELP).toString();
    }
}
