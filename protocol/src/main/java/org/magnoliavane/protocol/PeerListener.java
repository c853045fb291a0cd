package org.magnoliavane.protocol;

import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.Heartbeat;
import org.magnoliavane.protocol.generated.Hello;

/**
 * Receives the events of peer connections. The methods are called on event loop threads and must not block.
 */
public interface PeerListener {

    /**
     * Creates the hello that is sent first on a connection.
     *
     * @return the hello; the hello of the peer must name the same cluster
     */
    Hello createHello();

    /**
     * Creates the next heartbeat of a connection.
     *
     * @param connection the connection
     * @return the heartbeat
     */
    Heartbeat createHeartbeat(PeerConnection connection);

    /**
     * Called when the hello of the peer has been received.
     *
     * @param connection the connection
     */
    void onOpen(PeerConnection connection);

    /**
     * Handles a received frame that is neither a hello nor a reply.
     *
     * @param connection the connection
     * @param frame the frame
     */
    void onFrame(PeerConnection connection, Frame frame);

    /**
     * Called once when a connection is closed, even if the hello of the peer was never received. Not called for an
     * outgoing connection that could not be established, unless it is closed first by the connect timeout.
     *
     * @param connection the connection
     * @param reason the reason
     */
    void onClose(PeerConnection connection, PeerCloseReason reason);
}
