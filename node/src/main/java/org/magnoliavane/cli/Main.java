package org.magnoliavane.cli;

import java.lang.System.Logger.Level;

import org.magnoliavane.node.Node;
import org.magnoliavane.node.settings.LogFormat;
import org.magnoliavane.node.settings.Logging;

/**
 * Entry point of the magnoliavane jar.
 */
public final class Main {
    private static final NodeStarter NODE_STARTER = Node::start;

    private Main() {}

    /**
     * Runs the command that the arguments name, and exits with its status.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        // The command node sets its own level when it has read the settings.
        Logging.configure(Level.WARNING, LogFormat.TEXT);
        System.exit(new CommandLine(NODE_STARTER, System.out, System.err).run(arguments));
    }
}
