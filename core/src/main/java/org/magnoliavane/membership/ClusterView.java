package org.magnoliavane.membership;

import java.util.List;
import java.util.Optional;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;

/**
 * Holds what a node knows of the other nodes and the backend servers. A controller replaces the view as a whole.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the node that holds the view
 * @param nodes the nodes that are live and reachable, with this one
 * @param servers the backend servers, leaving ones too
 */
public record ClusterView(NodeAddress self, List<NodeAddress> nodes, List<BackendServer> servers) {

    /**
     * Finds the backend servers of a service that may get new work.
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
     * Finds a backend server, leaving ones too.
     *
     * @param id the VM id
     * @return the server, or empty when the view does not have it
     */
    public Optional<BackendServer> findServer(String id) {
        return servers.stream().filter(s -> s.id().equals(id)).findFirst();
    }

    /**
     * Finds a node.
     *
     * @param node the node id
     * @return the node, or empty when it is not live or not reachable
     */
    public Optional<NodeAddress> findNode(String node) {
        return nodes.stream().filter(n -> n.run().node().equals(node)).findFirst();
    }

    /**
     * Gets the node that owns a name: the first by rendezvous hashing. Leaving nodes are owners only when no other is
     * left.
     *
     * @param name the name, such as that of a pool
     * @return the owner
     */
    public NodeAddress getOwner(String name) {
        List<NodeAddress> staying = nodes.stream().filter(n -> !n.leaving()).toList();
        List<NodeAddress> candidates = staying.isEmpty() ? nodes : staying;
        return RendezvousHashing.findOwner(name, candidates, n -> n.run().node())
                .orElse(self);
    }
}
