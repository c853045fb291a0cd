package org.magnoliavane.router.store;

/**
 * A node as it lists itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the node
 * @param run a number that differs between starts of the process
 * @param host its IP address
 * @param callerPort the TCP port on which it serves callers
 * @param peerPort the UDP port on which it takes reports of other nodes
 * @param zone its availability zone
 */
public record NodeListing(String name, long run, String host, int callerPort, int peerPort, String zone) {}
