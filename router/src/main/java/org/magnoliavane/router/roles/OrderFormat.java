package org.magnoliavane.router.roles;

import java.io.IOException;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.http.HttpRequest;

/**
 * Translates orders to workers.
 *
 * <p>Implementations are thread-safe.
 */
public interface OrderFormat {

    /**
     * Asks a worker for its state.
     *
     * @param worker the worker
     * @return the request
     */
    HttpRequest createStateRequest(ListedWorker worker);

    /**
     * Reads the answer.
     *
     * @param body the body of the answer
     * @return the state
     * @throws IOException when the body is not understood
     */
    WorkerState readState(byte[] body) throws IOException;

    /**
     * Orders a worker to take on a role.
     *
     * @param worker the worker
     * @param role the role
     * @param holder the name of this node
     * @param fence the fencing token
     * @param state the state of the worker on which the order relies
     * @return the request
     */
    HttpRequest createOrderRequest(ListedWorker worker, WorkerRole role, String holder, long fence, WorkerState state);

    /**
     * Reads the outcome of an order.
     *
     * @param status the HTTP status
     * @return the outcome
     */
    OrderOutcome readOutcome(int status);
}
