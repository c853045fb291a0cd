package org.magnoliavane.protocol;

/**
 * Reasons for the end of a peer connection, each with its remedy.
 */
public enum PeerCloseReason {
    /** The connection was closed by either side. */
    CLOSED("none needed; a new connection is tried"),
    /** The connection was closed in the middle of a frame. */
    TRUNCATED("check the network path and whether the peer process was killed"),
    /** A frame exceeds 1 MiB. */
    OVERSIZED("check that only nodes connect to the peer port, and that all nodes run compatible versions"),
    /** A frame cannot be decoded, has no known content, or comes out of order. */
    MALFORMED("check that only nodes connect to the peer port, and that all nodes run compatible versions"),
    /** The peer belongs to another cluster. */
    WRONG_CLUSTER("give both nodes the same cluster name in their settings, or correct the VM list"),
    /** No frame came for 1.5 s. */
    SILENT("none needed; a new connection is tried"),
    /** More than 8 MiB wait to be sent. */
    CONGESTED("check the load of the peer and the network path to it");

    private final String remedy;

    PeerCloseReason(String remedy) {
        this.remedy = remedy;
    }

    /**
     * Gets what an operator can do.
     *
     * @return the remedy
     */
    public String getRemedy() {
        return remedy;
    }
}
