package org.magnoliavane.membership;

import org.magnoliavane.NodeRun;

/**
 * Describes a node and its network addresses.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run of the node; its run number is 0 while it is unknown
 * @param host the IP address
 * @param callerPort the TCP port for callers
 * @param peerPort the TCP port for other nodes
 * @param operatorPort the TCP port for operators
 * @param zone the availability zone
 * @param leaving true when it is shutting down and callers should no longer be directed to it
 */
public record NodeAddress(
        NodeRun run, String host, int callerPort, int peerPort, int operatorPort, String zone, boolean leaving) {}
