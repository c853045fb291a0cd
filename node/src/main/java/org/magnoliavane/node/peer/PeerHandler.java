package org.magnoliavane.node.peer;

import java.util.function.Consumer;

import org.magnoliavane.NodeRun;
import org.magnoliavane.protocol.generated.Frame;

/**
 * Handles the frames of one kind. Runs on a network thread and must not block.
 */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles a frame.
     *
     * @param from the run that sent it
     * @param frame the frame
     * @param reply sends the reply to a request; may be called later and on any thread
     */
    void handle(NodeRun from, Frame frame, Consumer<Frame.Builder> reply);
}
