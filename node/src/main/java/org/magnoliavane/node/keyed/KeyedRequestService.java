package org.magnoliavane.node.keyed;

import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.magnoliavane.Fault;

/**
 * Executes requests with an idempotency key at most once across all nodes, on the node run that owns the key.
 *
 * <p>Implementations are thread-safe.
 */
public interface KeyedRequestService {

    /**
     * Executes a request, or waits for the result of an earlier request with the same key.
     *
     * @param request the request; has an idempotency key
     * @return the response, which is the same for all requests with this key, or the fault
     */
    CompletionStage<Either<Fault, PlainResponse>> execute(PlainRequest request);

    /**
     * Issues a run token for the response of {@code /v1/addresses}.
     *
     * @return a token that names this node run and the current time
     */
    String issueRunToken();
}
