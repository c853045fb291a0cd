package org.magnoliavane.cli;

import org.magnoliavane.node.settings.NodeSettings;

/**
 * Starts a node.
 */
@FunctionalInterface
public interface NodeStarter {

    /**
     * Starts a node and returns once it accepts requests.
     *
     * @param settings the settings
     * @return the node, whose {@code close} shuts it down gracefully and returns when each accepted request is completed
     * @throws Exception if the node cannot be started
     */
    AutoCloseable start(NodeSettings settings) throws Exception;
}
