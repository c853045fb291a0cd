package org.magnoliavane.cli;

import org.magnoliavane.node.settings.NodeSettings;

/**
 * Starts a node.
 */
@FunctionalInterface
public interface NodeStarter {

    /**
     * Starts a node and returns once it serves.
     *
     * @param settings the settings
     * @return the node; closing it stops it gracefully and returns when everything it accepted is answered
     * @throws Exception when it cannot be started
     */
    AutoCloseable start(NodeSettings settings) throws Exception;
}
