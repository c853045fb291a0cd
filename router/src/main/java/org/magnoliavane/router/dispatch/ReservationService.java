package org.magnoliavane.router.dispatch;

import java.util.function.Consumer;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.routing.EngineProfile;

/**
 * Reserves capacity at workers, so that nodes that choose the same worker concurrently do not overcommit it.
 *
 * <p>Implementations are thread-safe.
 */
public interface ReservationService {

    /**
     * Requests a reservation.
     *
     * @param worker the worker
     * @param engine the profile of the engines of its service
     * @param tokens the KV cache memory that the request will occupy, in tokens
     * @param claimId keeps free capacity for the request if it is rejected; {@link
     *     org.magnoliavane.balance.ReservationTable#NO_CLAIM} for a request that does not
     * @param onResult receives true if the reservation is granted or its owner does not reply in time, otherwise false
     * @return the reservation, which the caller must release whatever the result
     */
    Reservation reserve(
            ListedWorker worker, EngineProfile engine, int tokens, long claimId, Consumer<Boolean> onResult);

    /**
     * Creates an id for the claims of a request, which it uses in all its attempts.
     *
     * @return the id, which is not used for another request of this node
     */
    long createClaimId();

    /** A reservation of capacity at a worker. */
    @FunctionalInterface
    interface Reservation {
        /** Releases the reservation; further calls have no effect. */
        void release();
    }
}
