package org.magnoliavane.node.configuration;

import java.util.Optional;

/**
 * Hands the current configuration to and from peers.
 *
 * <p>Implementations are thread-safe.
 */
public interface ConfigurationExchange {

    /**
     * Finds the current version.
     *
     * @return the version in force, or empty when the node has none yet
     */
    Optional<ConfigurationVersion> findCurrent();

    /**
     * Takes a version that a peer has in force. A version that is not newer than the current one is ignored.
     *
     * @param text the version of the peer
     */
    void offer(ConfigurationVersion text);
}
