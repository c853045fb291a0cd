package org.magnoliavane.node.placement;

import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.magnoliavane.Fault;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;

/**
 * Requests workers from the coordinator of a pool, which runs in this node or another one.
 *
 * <p>Implementations are thread-safe.
 */
public interface PlacementService {

    /**
     * Requests workers for an attempt.
     *
     * @param request the request
     * @param onEnd receives the reason when the coordinator ends the attempt after its start
     * @return completes with the placement when the prefill should start, or with the fault of the refusal
     */
    CompletionStage<Either<Fault, Placement>> place(
            PlacementRequest request, java.util.function.Consumer<String> onEnd);

    /**
     * Reports the progress of an attempt.
     *
     * @param progress the progress
     */
    void report(AttemptProgress progress);

    /**
     * Withdraws an attempt, for example because its caller has disconnected.
     *
     * @param attempt the id of the attempt
     */
    void withdraw(String attempt);
}
