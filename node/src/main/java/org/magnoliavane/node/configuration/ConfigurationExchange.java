package org.magnoliavane.node.configuration;

import java.util.Optional;

/**
 * Exchanges the configuration in force with peers.
 *
 * <p>Implementations are thread-safe.
 */
public interface ConfigurationExchange {

    /**
     * Finds the version in force.
     *
     * @return the version in force, or empty when the node has none yet
     */
    Optional<ConfigurationVersion> findCurrent();

    /**
     * Accepts a version that is in force at a peer. Ignores a version that is not newer than the current one.
     *
     * @param offered the version of the peer
     */
    void offer(ConfigurationVersion offered);
}
