package org.magnoliavane.node.peer;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

import org.magnoliavane.NodeRun;
import org.magnoliavane.protocol.generated.Frame;

/**
 * Sends requests and messages to the other nodes.
 *
 * <p>Implementations are thread-safe.
 */
public interface Peers {

    /**
     * Finds the current run of a node that is reachable.
     *
     * @param node the node id
     * @return the run stated in its last hello, or empty when the node is unreachable
     */
    Optional<NodeRun> findRun(String node);

    /**
     * Finds the id of the open connection to a node. Messages that were sent on an earlier connection may be lost.
     *
     * @param node the node id
     * @return the id of the open connection, or empty when there is none
     */
    OptionalLong findConnectionId(String node);

    /**
     * Sends a request and waits for its reply asynchronously.
     *
     * @param node the node id
     * @param request the request
     * @param timeoutMillis the time within which the reply must arrive, in milliseconds
     * @return the reply; fails when none arrives, in which case the node may still have handled the request
     */
    CompletionStage<Frame> sendRequest(String node, Frame.Builder request, long timeoutMillis);

    /**
     * Sends a message that has no reply. The message is lost when the connection ends.
     *
     * @param node the node id
     * @param message the message
     */
    void send(String node, Frame.Builder message);

    /**
     * Determines the current run of a node on a new connection.
     *
     * @param node the node id
     * @return the run; fails when the node is unreachable
     */
    CompletionStage<NodeRun> fetchRun(String node);
}
