package org.magnoliavane.node.placement;

import java.util.concurrent.CompletionStage;

import org.magnoliavane.BackendServer;

/**
 * Asks engines for their load and cancels attempts.
 *
 * <p>Implementations are thread-safe.
 */
interface Engines {

    /**
     * Reads the load report.
     *
     * @param worker the worker
     * @return the report; fails with {@link RefusedException} when the worker refuses connections
     */
    CompletionStage<EngineReport> load(BackendServer worker);

    /**
     * Cancels an attempt.
     *
     * @param worker the worker
     * @param attempt the id of the attempt
     */
    void cancel(BackendServer worker, String attempt);
}
