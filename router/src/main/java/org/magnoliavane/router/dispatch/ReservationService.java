package org.magnoliavane.router.dispatch;

import java.util.function.Consumer;

import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;

/**
 * Reserves capacity at workers, so that nodes that choose the same worker concurrently do not overcommit it.
 *
 * <p>Implementations are thread-safe.
 */
public interface ReservationService {

    /**
     * Requests a reservation.
     *
     * @param demand the capacity that the request needs, and for how long it waits for it
     * @param onReply receives the reply of the reservation owner: granted, rejected, or waiting, which is followed by one of
     *     the other two. Without a reply in time, the demand states whether it counts as granted. It may be called before
     *     this method returns, on any thread, and is not called any more once the reservation has been released; a call that
     *     is under way then may still end.
     * @return the reservation, which the caller must release whatever the reply
     */
    Reservation reserve(Demand demand, Consumer<Reply> onReply);

    /** A reservation of capacity at a worker, or a request for one that waits. */
    @FunctionalInterface
    interface Reservation {
        /** Releases the reservation or withdraws the request; further calls have no effect. */
        void release();
    }
}
