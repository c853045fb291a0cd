package org.magnoliavane.node.peer;

import java.util.function.Consumer;

import org.magnoliavane.NodeRun;
import org.magnoliavane.protocol.generated.Frame;

/**
 * Handles frames of one kind. It is called on a network thread and must not block.
 */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles a frame.
     *
     * @param from the node run that sent the frame
     * @param frame the frame
     * @param reply sends the reply to a request; may be called at any later time and on any thread
     */
    void handle(NodeRun from, Frame frame, Consumer<Frame.Builder> reply);
}
