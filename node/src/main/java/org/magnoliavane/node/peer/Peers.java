package org.magnoliavane.node.peer;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

import org.magnoliavane.NodeRun;
import org.magnoliavane.protocol.generated.Frame;

/**
 * Reaches the other nodes.
 *
 * <p>Implementations are thread-safe.
 */
public interface Peers {

    /**
     * Finds the run of a node that can be reached.
     *
     * @param node the node id
     * @return the run of its last hello, or empty when the node cannot be reached
     */
    Optional<NodeRun> findRun(String node);

    /**
     * Finds the connection to a node. What was sent on another connection may be lost.
     *
     * @param node the node id
     * @return the number of the open connection, or empty when there is none
     */
    OptionalLong findConnection(String node);

    /**
     * Sends a request.
     *
     * @param node the node id
     * @param request the request
     * @param timeoutMillis the time within which the reply must come
     * @return the reply; fails when there is none, and the node may have handled the request all the same
     */
    CompletionStage<Frame> call(String node, Frame.Builder request, long timeoutMillis);

    /**
     * Sends a message without a reply. It is lost when the connection ends.
     *
     * @param node the node id
     * @param message the message
     */
    void send(String node, Frame.Builder message);

    /**
     * Asks a node for its run on a new connection.
     *
     * @param node the node id
     * @return the run; fails when the node cannot be reached
     */
    CompletionStage<NodeRun> probe(String node);
}
