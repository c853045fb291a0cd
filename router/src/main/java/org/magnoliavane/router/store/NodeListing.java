package org.magnoliavane.router.store;

/**
 * The listing of a node in the store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the node
 * @param run a random number that differs for each start of the process
 * @param host the IP address of the node
 * @param callerPort the TCP port on which the node serves callers
 * @param peerPort the UDP port on which the node receives datagrams of other nodes
 * @param zone the availability zone of the node
 */
public record NodeListing(String name, long run, String host, int callerPort, int peerPort, String zone) {}
