package org.magnoliavane.node.keyed;

import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.magnoliavane.Fault;

/**
 * Sends requests to backend servers of plain services.
 */
@FunctionalInterface
public interface PlainDispatcher {

    /**
     * Sends a request. A request that is not idempotent is sent to at most one backend server.
     *
     * @param request the request
     * @return the response, or the fault, which states whether the request was executed
     */
    CompletionStage<Either<Fault, PlainResponse>> dispatch(PlainRequest request);
}
