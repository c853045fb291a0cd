package org.magnoliavane.protocol;

import org.magnoliavane.protocol.generated.Frame;
import org.magnoliavane.protocol.generated.Heartbeat;
import org.magnoliavane.protocol.generated.Hello;

/**
 * Receives the events of peer connections. The methods run on network threads and must not block.
 */
public interface PeerListener {

    /**
     * Creates the first message of a connection.
     *
     * @return the message; its cluster is the one that peers must have
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
     * Receives a connection whose peer has said hello.
     *
     * @param connection the connection
     */
    void onOpen(PeerConnection connection);

    /**
     * Receives a frame that is neither a hello nor a reply.
     *
     * @param connection the connection
     * @param frame the frame
     */
    void onFrame(PeerConnection connection, Frame frame);

    /**
     * Receives the end of a connection, also of one that never opened.
     *
     * @param connection the connection
     * @param reason the reason
     */
    void onClose(PeerConnection connection, PeerCloseReason reason);
}
