package org.magnoliavane.node.membership;

import java.util.List;
import java.util.concurrent.CompletionStage;

import org.magnoliavane.NodeRun;

/**
 * Tells live runs from ended ones.
 *
 * <p>Implementations are thread-safe.
 */
public interface RunDirectory {

    /**
     * Finds out the state of a run.
     *
     * @param run the run
     * @return the state; {@link RunState#GONE} only when the VM list no longer has the node or its address answers
     *     with another run
     */
    CompletionStage<RunState> getState(NodeRun run);

    /**
     * Gets the other nodes of the VM list, also those that cannot be reached.
     *
     * @return the node ids
     */
    List<String> getListedNodes();

    /**
     * Gets the time since the last run that this node knew left the VM list or was followed by another run.
     *
     * @return the time in milliseconds; {@link Long#MAX_VALUE} when that never happened
     */
    long getMillisSinceLoss();
}
