package org.magnoliavane.cli;

import com.beust.jcommander.Parameters;

/** Adds a node or worker to the drain list. */
@Parameters(commandDescription = "Publish a version in which a node or worker gets no new work")
final class DrainAddCommand extends DrainCommand {
    DrainAddCommand() {
        super(true);
    }
}
