package org.magnoliavane.node.peer;

import java.util.List;

import org.magnoliavane.protocol.generated.PoisonVerdict;

/**
 * Provides the content of heartbeats and hellos.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface HeartbeatSource {

    /**
     * Returns whether this node is shutting down, so that callers should no longer be directed to it.
     *
     * @return true when the node is shutting down
     */
    boolean isShuttingDown();

    /**
     * Gets the version of the configuration in force.
     *
     * @return the version; 0 when there is none
     */
    long getConfigurationVersion();

    /**
     * Gets the hash of the TOML source of the configuration in force.
     *
     * @return the hash; 0 when there is none
     */
    long getConfigurationHash();

    /**
     * Gets the sequence number of the latest change of the poison verdicts.
     *
     * @return the sequence number; 0 when there was no change
     */
    long getVerdictSequence();

    /**
     * Gets the poison verdicts that have changed after a sequence number.
     *
     * @param sequence the sequence number of the last change that was sent to the peer
     * @return the verdicts that changed later
     */
    List<PoisonVerdict> getVerdictsAfter(long sequence);
}
