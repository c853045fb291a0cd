package org.magnoliavane.node.keyed;

import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.magnoliavane.Fault;

/**
 * Runs calls that carry an idempotency key at most once over all nodes: here, or at the node run that owns the key.
 *
 * <p>Implementations are thread-safe.
 */
public interface KeyedCalls {

    /**
     * Runs a call, or waits for the run of an earlier call with the same key.
     *
     * @param call the call; has an idempotency key
     * @return the one answer for this key, or the fault
     */
    CompletionStage<Either<Fault, PlainResponse>> call(PlainRequest call);

    /**
     * Issues a run token for the address answer.
     *
     * @return a token that names this run and the current time
     */
    String issueRunToken();
}
