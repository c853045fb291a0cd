package org.magnoliavane.node.membership;

import java.util.concurrent.CompletionStage;

import org.magnoliavane.NodeRun;

/**
 * Tells live runs from ended ones.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface RunDirectory {

    /**
     * Finds out the state of a run.
     *
     * @param run the run
     * @return the state; {@link RunState#GONE} only when the VM list no longer has the node or its address answers
     *     with another run
     */
    CompletionStage<RunState> getState(NodeRun run);
}
