package org.magnoliavane.balance;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The room that the steward of a worker has given out. Room that its holder does not renew is taken back, since the holder
 * may have died.
 *
 * <p>Thread-safe.
 */
public final class ReservationTable {
    private final long leaseMillis;
    private final Map<String, Map<Holder, Room>> workers = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param leaseMillis the time after which room that is not renewed is taken back
     */
    public ReservationTable(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Gives out room, if there is enough.
     *
     * @param request what is asked for
     * @param nowMillis the current time
     * @return true when the room is given; also for room that the holder has already
     */
    public synchronized boolean tryReserve(Request request, long nowMillis) {
        Map<Holder, Room> rooms = roomsOf(request.worker, nowMillis);
        Holder holder = new Holder(request.node, request.id);
        if (!rooms.containsKey(holder) && !rooms.isEmpty()) {
            boolean slotFree = rooms.size() < request.slots;
            if (!slotFree || sumOf(rooms) + request.tokens > request.limitTokens) {
                return false;
            }
        }
        rooms.put(holder, new Room(request.tokens, nowMillis + leaseMillis));
        return true;
    }

    /**
     * Takes note that a holder still uses its room, whether or not it was given out here.
     *
     * @param request the room
     * @param nowMillis the current time
     */
    public synchronized void renew(Request request, long nowMillis) {
        roomsOf(request.worker, nowMillis)
                .put(new Holder(request.node, request.id), new Room(request.tokens, nowMillis + leaseMillis));
    }

    /**
     * Takes room back.
     *
     * @param worker the id of the worker
     * @param node the name of the node that holds the room
     * @param id the id that the node gave to it
     */
    public synchronized void release(String worker, String node, long id) {
        Map<Holder, Room> rooms = workers.get(worker);
        if (rooms != null) {
            rooms.remove(new Holder(node, id));
        }
    }

    /**
     * Counts the tokens that are given out.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time
     * @return the tokens
     */
    public synchronized int countTokens(String worker, long nowMillis) {
        return sumOf(roomsOf(worker, nowMillis));
    }

    private Map<Holder, Room> roomsOf(String worker, long nowMillis) {
        Map<Holder, Room> rooms = workers.computeIfAbsent(worker, w -> new HashMap<>());
        for (Iterator<Room> i = rooms.values().iterator(); i.hasNext(); ) {
            if (i.next().endMillis <= nowMillis) {
                i.remove();
            }
        }
        return rooms;
    }

    private static int sumOf(Map<Holder, Room> rooms) {
        return rooms.values().stream().mapToInt(Room::tokens).sum();
    }

    /**
     * Asks for room.
     *
     * @param worker the id of the worker
     * @param node the name of the node that asks
     * @param id names the room among those of the node
     * @param tokens the tokens that are asked for
     * @param limitTokens the tokens that all requests together may take
     * @param slots the number of requests that the worker runs at once
     */
    public record Request(String worker, String node, long id, int tokens, int limitTokens, int slots) {}

    private record Holder(String node, long id) {}

    private record Room(int tokens, long endMillis) {}
}
