package org.magnoliavane.router.roles;

import java.io.IOException;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.http.HttpRequest;

/**
 * Translates between role orders and the HTTP messages of workers.
 *
 * <p>Implementations are thread-safe.
 */
public interface OrderFormat {

    /**
     * Creates a request for the state of a worker.
     *
     * @param worker the worker
     * @return the request
     */
    HttpRequest createStateRequest(ListedWorker worker);

    /**
     * Reads the state of a worker.
     *
     * @param body the body of the response
     * @return the state
     * @throws IOException if the body is malformed
     */
    WorkerState readState(byte[] body) throws IOException;

    /**
     * Creates an order that changes the role of a worker.
     *
     * @param worker the worker
     * @param role the new role
     * @param holder the name of the node that holds the order lease
     * @param fencingToken the fencing token of the lease
     * @param state the state that the worker must still be in to accept the order
     * @return the request
     */
    HttpRequest createOrderRequest(
            ListedWorker worker, WorkerRole role, String holder, long fencingToken, WorkerState state);

    /**
     * Derives the outcome of an order from the status of its response.
     *
     * @param status the HTTP status
     * @return the outcome
     */
    OrderOutcome readOutcome(int status);
}
