package org.magnoliavane.node.placement;

import java.util.concurrent.CompletionStage;

import org.magnoliavane.BackendServer;

/**
 * Reads load reports of engines and cancels attempts at them.
 *
 * <p>Implementations are thread-safe.
 */
interface EngineControl {

    /**
     * Fetches the load report of a worker.
     *
     * @param worker the worker
     * @return the report; completes exceptionally with {@link ConnectionRefusedException} when the worker refuses the
     *     connection
     */
    CompletionStage<EngineLoadReport> fetchLoad(BackendServer worker);

    /**
     * Cancels an attempt. A failure is only logged.
     *
     * @param worker the worker
     * @param attempt the id of the attempt
     */
    void cancel(BackendServer worker, String attempt);
}
