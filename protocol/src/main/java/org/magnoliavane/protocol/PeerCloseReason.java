package org.magnoliavane.protocol;

/**
 * Reasons for the end of a peer connection, each with a remedy for operators.
 */
public enum PeerCloseReason {
    /** Either side closed the connection, or it failed. */
    CLOSED("none needed; a new connection is tried"),
    /** The connection ended within a frame. */
    TRUNCATED("check the network path and whether the peer process was killed"),
    /** A frame exceeds the size limit of 1 MiB. */
    OVERSIZED("check that only nodes connect to the peer port, and that all nodes run compatible versions"),
    /** A frame cannot be decoded, has no known body, or violates the message order. */
    MALFORMED("check that only nodes connect to the peer port, and that all nodes run compatible versions"),
    /** The peer belongs to another cluster. */
    WRONG_CLUSTER("give both nodes the same cluster name in their settings, or correct the VM list"),
    /** No frame was received for 1.5 s, or the peer sent no hello within the connect timeout. */
    SILENT("none needed; a new connection is tried"),
    /** More than 8 MiB are waiting to be sent. */
    CONGESTED("check the load of the peer and the network path to it");

    private final String remedy;

    PeerCloseReason(String remedy) {
        this.remedy = remedy;
    }

    /**
     * Gets the action that an operator can take.
     *
     * @return the remedy
     */
    public String getRemedy() {
        return remedy;
    }
}
