package org.magnoliavane.router.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.magnoliavane.membership.RendezvousHashing;
import org.magnoliavane.router.store.NodeListing;

/**
 * The nodes that one node hears at a time, with itself. All nodes that hear the same nodes find the same owner of a name.
 *
 * <p>Immutable and thread-safe.
 */
public final class LiveNodes {
    private final List<NodeListing> nodes;

    private LiveNodes(List<NodeListing> nodes) {
        this.nodes = nodes;
    }

    /**
     * Collects the live nodes.
     *
     * @param self the listing of this node
     * @param peerTable the other nodes
     * @param nowMillis the current time in milliseconds
     * @return the live nodes
     */
    public static LiveNodes collect(NodeListing self, PeerTable peerTable, long nowMillis) {
        List<NodeListing> nodes = new ArrayList<>(peerTable.getLiveListings(nowMillis));
        nodes.add(self);
        return new LiveNodes(List.copyOf(nodes));
    }

    /**
     * Finds the owner of a name by rendezvous hashing.
     *
     * @param name the name, such as that of a worker
     * @return the owner
     */
    public NodeListing findOwner(String name) {
        Optional<NodeListing> owner = RendezvousHashing.findOwner(name, nodes, NodeListing::name);
        return owner.orElseThrow();
    }

    /**
     * Counts the nodes.
     *
     * @return the number, at least 1
     */
    public int count() {
        return nodes.size();
    }
}
