package org.magnoliavane.node.placement;

import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.magnoliavane.Fault;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;

/**
 * Asks the coordinator of a pool, in this node or another one, for workers.
 *
 * <p>Implementations are thread-safe.
 */
public interface PlacementService {

    /**
     * Asks for workers for an attempt.
     *
     * @param request the request
     * @param onEnd runs when the coordinator ends the attempt after it was started, with the reason
     * @return the placement, at the moment when the prefill should start, or the refusal
     */
    CompletionStage<Either<Fault, Placement>> place(
            PlacementRequest request, java.util.function.Consumer<String> onEnd);

    /**
     * Reports the progress of an attempt.
     *
     * @param progress the report
     */
    void report(AttemptProgress progress);

    /**
     * Gives an attempt up, because its caller is gone.
     *
     * @param attempt the id of the attempt
     */
    void withdraw(String attempt);
}
