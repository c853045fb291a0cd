package org.magnoliavane.membership;

import java.util.List;
import java.util.Optional;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;

/**
 * Holds a snapshot of the nodes and backend servers that a node knows. The view is replaced as a whole.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the node that holds the view
 * @param nodes the nodes that are live and reachable, including this one
 * @param servers the backend servers, including draining ones
 */
public record ClusterView(NodeAddress self, List<NodeAddress> nodes, List<BackendServer> servers) {

    /**
     * Gets the backend servers of a service that accept new work.
     *
     * @param service the name of the service
     * @param role the role
     * @return the servers; empty when there are none
     */
    public List<BackendServer> getAvailableServers(String service, WorkerRole role) {
        return servers.stream()
                .filter(s -> s.service().equals(service) && s.role() == role && !s.leaving())
                .toList();
    }

    /**
     * Finds a backend server, which may be draining.
     *
     * @param id the VM id
     * @return the server; empty when the view does not contain it
     */
    public Optional<BackendServer> findServer(String id) {
        return servers.stream().filter(s -> s.id().equals(id)).findFirst();
    }

    /**
     * Finds a node.
     *
     * @param node the node id
     * @return the node; empty when it is not live or not reachable
     */
    public Optional<NodeAddress> findNode(String node) {
        return nodes.stream().filter(n -> n.run().node().equals(node)).findFirst();
    }

    /**
     * Gets the node that owns a name, chosen by rendezvous hashing. A node that is shutting down is chosen only when
     * there is no other node.
     *
     * @param name the name, such as that of a pool
     * @return the owner
     */
    public NodeAddress getOwner(String name) {
        List<NodeAddress> active = nodes.stream().filter(n -> !n.leaving()).toList();
        List<NodeAddress> candidates = active.isEmpty() ? nodes : active;
        return RendezvousHashing.findOwner(name, candidates, n -> n.run().node())
                .orElse(self);
    }
}
