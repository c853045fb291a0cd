package org.magnoliavane.node.keyed;

import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.magnoliavane.Fault;

/**
 * Sends a call to a backend server of its service.
 */
@FunctionalInterface
public interface PlainDispatcher {

    /**
     * Sends a call. A call that is not idempotent is sent to at most one backend server.
     *
     * @param call the call
     * @return the answer, or the fault, which says whether the call ran
     */
    CompletionStage<Either<Fault, PlainResponse>> dispatch(PlainRequest call);
}
