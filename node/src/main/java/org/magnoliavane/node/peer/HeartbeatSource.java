package org.magnoliavane.node.peer;

import java.util.List;

import org.magnoliavane.protocol.generated.PoisonVerdict;

/**
 * Provides what heartbeats and hellos tell the peers.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface HeartbeatSource {

    /**
     * Says whether callers should no longer be sent to this node.
     *
     * @return true when the node is leaving
     */
    boolean isLeaving();

    /**
     * Gets the version of the configuration in force.
     *
     * @return the version; 0 when there is none
     */
    long getConfigurationVersion();

    /**
     * Gets the hash of the configuration text in force.
     *
     * @return the hash; 0 when there is none
     */
    long getConfigurationHash();

    /**
     * Gets the newest change of the poison verdicts.
     *
     * @return the number of the change; 0 when there is none
     */
    long getVerdictSequence();

    /**
     * Gets the poison verdicts that changed.
     *
     * @param sequence the number of the last change that the peer has
     * @return the verdicts changed later
     */
    List<PoisonVerdict> getVerdictsAfter(long sequence);
}
