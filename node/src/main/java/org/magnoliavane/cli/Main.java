package org.magnoliavane.cli;

import java.lang.System.Logger.Level;

import org.magnoliavane.node.Node;
import org.magnoliavane.node.settings.LogFormat;
import org.magnoliavane.node.settings.Logging;

/**
 * Entry point of {@code magnoliavane.jar}.
 */
public final class Main {
    private static final NodeStarter NODE_STARTER = Node::start;

    private Main() {}

    /**
     * Runs the command that the arguments specify, and exits with its status.
     *
     * @param arguments the arguments of the process
     */
    public static void main(String[] arguments) {
        // The commands node and route configure logging again after they have read their settings.
        Logging.configure(Level.WARNING, LogFormat.TEXT);
        System.exit(new CommandLine(NODE_STARTER, System.out, System.err).run(arguments));
    }
}
