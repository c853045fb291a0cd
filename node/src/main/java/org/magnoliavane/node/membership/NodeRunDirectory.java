package org.magnoliavane.node.membership;

import java.util.List;
import java.util.concurrent.CompletionStage;

import org.magnoliavane.NodeRun;

/**
 * Determines whether runs of nodes are live or have ended. A run is one start of the process of a node.
 *
 * <p>Implementations are thread-safe.
 */
public interface NodeRunDirectory {

    /**
     * Determines the state of a run.
     *
     * @param run the run
     * @return the state; {@link NodeRunState#GONE} only if the VM list no longer contains the node or another run responds
     *     at its address
     */
    CompletionStage<NodeRunState> getState(NodeRun run);

    /**
     * Gets the other nodes in the VM list, including unreachable ones.
     *
     * @return the ids of the nodes
     */
    List<String> getListedNodes();

    /**
     * Gets the time since the last end of a run known to this node: its node left the VM list, or a new run replaced it.
     *
     * @return the time in milliseconds, or {@link Long#MAX_VALUE} if no known run has ended
     */
    long getMillisSinceLastRunEnd();
}
