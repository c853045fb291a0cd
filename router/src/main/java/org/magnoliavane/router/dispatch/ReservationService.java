package org.magnoliavane.router.dispatch;

import java.util.function.Consumer;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.routing.EngineProfile;

/**
 * Gives out room at workers, so that nodes that choose the same worker at the same time do not overfill it.
 *
 * <p>Implementations are thread-safe.
 */
public interface ReservationService {

    /**
     * Asks for room.
     *
     * @param worker the worker
     * @param engine the engines of its service
     * @param tokens the tokens that the request will take
     * @param answer takes true when there is room, or when nobody could tell in time
     * @return the room, to be released in any case
     */
    Reservation reserve(ListedWorker worker, EngineProfile engine, int tokens, Consumer<Boolean> answer);

    /** A reservation at a worker. */
    @FunctionalInterface
    interface Reservation {
        /** Gives the room back; later calls have no effect. */
        void release();
    }
}
