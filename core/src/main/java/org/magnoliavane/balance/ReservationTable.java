package org.magnoliavane.balance;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Holds the reservations that this node has granted as the reservation owner of workers. A reservation that its holder does
 * not renew is reclaimed when its lease ends, because the holder may have failed.
 *
 * <p>Thread-safe.
 */
public final class ReservationTable {
    private final long leaseMillis;
    private final Map<String, Map<Holder, Reservation>> workers = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param leaseMillis the time after which a reservation that is not renewed is reclaimed, in milliseconds
     */
    public ReservationTable(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Grants a reservation if the worker has enough free capacity. A worker without reservations grants one of any size.
     *
     * @param request the requested reservation
     * @param nowMillis the current time, in milliseconds
     * @return true if the reservation is granted; also if the holder has it already
     */
    public synchronized boolean tryReserve(Request request, long nowMillis) {
        Map<Holder, Reservation> reservations = getActiveReservations(request.worker, nowMillis);
        Holder holder = new Holder(request.node, request.id);
        if (!reservations.containsKey(holder) && !reservations.isEmpty()) {
            boolean slotFree = reservations.size() < request.slots;
            if (!slotFree || sumTokens(reservations) + request.tokens > request.limitTokens) {
                return false;
            }
        }
        reservations.put(holder, new Reservation(request.tokens, nowMillis + leaseMillis));
        return true;
    }

    /**
     * Renews a reservation, whether or not this node granted it. A new reservation owner rebuilds its table from renewals.
     *
     * @param request the reservation
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void renew(Request request, long nowMillis) {
        getActiveReservations(request.worker, nowMillis)
                .put(new Holder(request.node, request.id), new Reservation(request.tokens, nowMillis + leaseMillis));
    }

    /**
     * Releases a reservation. An unknown reservation is ignored.
     *
     * @param worker the id of the worker
     * @param node the name of the node that holds the reservation
     * @param id the id that the node assigned to the reservation
     */
    public synchronized void release(String worker, String node, long id) {
        Map<Holder, Reservation> reservations = workers.get(worker);
        if (reservations != null) {
            reservations.remove(new Holder(node, id));
        }
    }

    /**
     * Counts the reserved tokens of a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the number of tokens
     */
    public synchronized int countTokens(String worker, long nowMillis) {
        return sumTokens(getActiveReservations(worker, nowMillis));
    }

    private Map<Holder, Reservation> getActiveReservations(String worker, long nowMillis) {
        Map<Holder, Reservation> reservations = workers.computeIfAbsent(worker, w -> new HashMap<>());
        for (Iterator<Reservation> i = reservations.values().iterator(); i.hasNext(); ) {
            if (i.next().expiryMillis <= nowMillis) {
                i.remove();
            }
        }
        return reservations;
    }

    private static int sumTokens(Map<Holder, Reservation> reservations) {
        return reservations.values().stream().mapToInt(Reservation::tokens).sum();
    }

    /**
     * A request for a reservation.
     *
     * @param worker the id of the worker
     * @param node the name of the requesting node
     * @param id identifies the reservation among those of the node
     * @param tokens the requested KV cache memory, in tokens
     * @param limitTokens the number of tokens that all reservations of the worker may have together
     * @param slots the number of requests that the worker runs concurrently
     */
    public record Request(String worker, String node, long id, int tokens, int limitTokens, int slots) {}

    private record Holder(String node, long id) {}

    private record Reservation(int tokens, long expiryMillis) {}
}
