package org.magnoliavane.cli;

import com.beust.jcommander.Parameters;

/** Removes a node or worker from the drain list. */
@Parameters(commandDescription = "Publish a version in which a node or worker gets work again")
final class DrainRemoveCommand extends DrainCommand {
    DrainRemoveCommand() {
        super(false);
    }
}
