package org.magnoliavane.membership;

import org.magnoliavane.NodeRun;

/**
 * Describes a node and where it can be reached.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run of the node; the run number is 0 while it is not known
 * @param host the IP address
 * @param callerPort the TCP port for callers
 * @param peerPort the TCP port for other nodes
 * @param operatorPort the TCP port for operators
 * @param zone the availability zone
 * @param leaving true when callers should no longer be sent to it
 */
public record NodeAddress(
        NodeRun run, String host, int callerPort, int peerPort, int operatorPort, String zone, boolean leaving) {}
