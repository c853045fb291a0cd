package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the reservations that this node has granted as the reservation owner of workers, and the requests that wait for one.
 * A reservation that its holder does not renew is reclaimed when its lease ends, because the holder may have failed. A
 * waiting request that is not repeated is forgotten for the same reason.
 *
 * <p>Waiting requests are granted in order: first those that can still be on time, by urgency and then by age, then the
 * overdue ones, also by urgency and age. One grant in four goes to the oldest on-time request whatever its urgency, so that
 * none starves. The first on-time request that does not fit keeps free capacity from the requests behind it for a limited
 * time, so that small requests do not use up the capacity that a large one waits for. A new request is put into the same
 * order.
 *
 * <p>Thread-safe.
 */
public final class ReservationTable {
    /** Time after which a waiting request is forgotten that is not repeated; its holder repeats it three times within it. */
    private static final long REPEAT_TIMEOUT_MILLIS = 600;

    /** Time after which a waiting request that is not repeated keeps no capacity free, because its node may have failed. */
    private static final long PROTECTION_REPEAT_MILLIS = 250;

    /**
     * Lease of a reservation that was granted after a wait, until its holder confirms it by a renewal or a repeated request;
     * the holder may have failed meanwhile. It is longer than the interval of repeats, because the grant may be lost.
     */
    private static final long UNCONFIRMED_LEASE_MILLIS = 300;

    /**
     * Maximum time for which a waiting request keeps capacity free, so that other requests do not starve while a worker has
     * long streams.
     */
    private static final long MAX_PROTECTION_MILLIS = 2500;

    /** One of this many grants to waiting requests goes to the oldest on-time request. */
    static final int GRANTS_PER_OLDEST = 4;

    /** Maximum number of waiting requests of a worker, which bounds the cost of a grant. */
    private static final int MAX_WAITING = 256;

    /** Weight of the latest reservation in the mean time for which reservations are held. */
    private static final double HELD_WEIGHT = 0.1;

    /** Share of a waiting request in the wait of those behind it, since each waits at two workers. */
    private static final double WAITING_WEIGHT = 0.5;

    /** Factor for the error of an expected wait: a request that waits in vain was better rejected at once. */
    private static final double WAIT_MARGIN = 1.25;

    private static final Comparator<Waiting> OLDEST_FIRST =
            Comparator.<Waiting>comparingLong(w -> w.arrivalMillis).thenComparingLong(w -> w.sequenceNumber);

    private static final Comparator<Waiting> MOST_URGENT_FIRST =
            Comparator.<Waiting>comparingInt(w -> w.demand.urgency).thenComparing(OLDEST_FIRST);

    private final long leaseMillis;
    private final Map<String, WorkerState> workers = new HashMap<>();
    private final Map<Released, Long> releasedMillis = new LinkedHashMap<>();
    private long lastSequenceNumber;

    /** Reply to a request for a reservation. */
    public enum Reply {
        /** The capacity is reserved. */
        GRANTED,
        /** The request waits, and is granted later without being sent again. */
        WAITING,
        /** The request does not wait. */
        REJECTED
    }

    /**
     * Creates an empty table.
     *
     * @param leaseMillis the time after which a reservation that is not renewed is reclaimed, in milliseconds
     */
    public ReservationTable(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Grants a reservation if the worker has enough free capacity and no request that precedes this one waits for it,
     * otherwise lets the request wait if it wants to. A worker without reservations grants one of any size. A repeated
     * request keeps its place.
     *
     * <p>The request may let others be granted; {@link #takeGrants} returns them.
     *
     * @param node the name of the requesting node
     * @param id identifies the reservation among those of the node
     * @param demand the requested capacity
     * @param nowMillis the current time, in milliseconds
     * @return the reply; granted also if the holder has the reservation already
     */
    public synchronized Reply request(String node, long id, Demand demand, long nowMillis) {
        WorkerState worker = getState(demand.worker, nowMillis);
        Holder holder = new Holder(node, id);
        if (worker.reservations.containsKey(holder)) {
            worker.granted.remove(holder);
            worker.reservations.computeIfPresent(holder, (h, r) -> r.renew(demand.tokens, nowMillis + leaseMillis));
            return Reply.GRANTED;
        }
        Waiting previous = worker.waiting.get(holder);
        boolean waits = demand.waitMillis > 0;
        if (waits && (isReleased(demand.worker, holder) || previous == null && worker.waiting.size() >= MAX_WAITING)) {
            return Reply.REJECTED;
        }
        Waiting entry = new Waiting(holder, demand, nowMillis, ++lastSequenceNumber);
        if (previous != null) {
            entry.sequenceNumber = previous.sequenceNumber;
            entry.protectedSinceMillis = previous.protectedSinceMillis;
        }
        worker.waiting.put(holder, entry);
        grantInOrder(worker, nowMillis);
        if (worker.granted.remove(holder)) {
            worker.reservations.computeIfPresent(holder, (h, r) -> r.renew(demand.tokens, nowMillis + leaseMillis));
            releasedMillis.remove(new Released(demand.worker, holder));
            return Reply.GRANTED;
        }
        if (!waits || previous == null && worker.isWaitTooLong(entry, nowMillis)) {
            worker.waiting.remove(holder);
            return Reply.REJECTED;
        }
        return Reply.WAITING;
    }

    private boolean isReleased(String worker, Holder holder) {
        return releasedMillis.containsKey(new Released(worker, holder));
    }

    /**
     * Grants waiting requests of a worker as far as they fit, and returns those that have been granted since the last call.
     * Their holders must confirm them by a renewal.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the holders of the granted reservations
     */
    public synchronized List<Holder> takeGrants(String worker, long nowMillis) {
        WorkerState state = getState(worker, nowMillis);
        grantInOrder(state, nowMillis);
        List<Holder> granted = List.copyOf(state.granted);
        state.granted.clear();
        return granted;
    }

    /**
     * Gets the workers for which requests wait.
     *
     * @return the ids of the workers
     */
    public synchronized List<String> getWorkersWithWaiting() {
        List<String> ids = new ArrayList<>();
        workers.forEach((id, worker) -> {
            if (!worker.waiting.isEmpty()) {
                ids.add(id);
            }
        });
        return ids;
    }

    /**
     * Counts the waiting requests of all workers.
     *
     * @return the number of requests
     */
    public synchronized int countWaiting() {
        return workers.values().stream().mapToInt(w -> w.waiting.size()).sum();
    }

    private void grantInOrder(WorkerState worker, long nowMillis) {
        // Entries leave at each grant, so the loop ends.
        while (!worker.waiting.isEmpty()) {
            Optional<Waiting> next = findNext(worker, nowMillis);
            if (next.isEmpty()) {
                return;
            }
            worker.grant(next.get(), nowMillis, Math.min(leaseMillis, UNCONFIRMED_LEASE_MILLIS));
        }
    }

    /** Finds the first waiting request that fits, beside the one that keeps capacity free. */
    private static Optional<Waiting> findNext(WorkerState worker, long nowMillis) {
        int usedTokens = sumTokens(worker.reservations);
        int usedSlots = worker.reservations.size();
        boolean isProtected = false;
        for (Waiting candidate : worker.getOrder(nowMillis)) {
            Demand demand = candidate.demand;
            boolean idle = usedSlots == 0;
            if (idle || usedSlots < demand.slots && usedTokens + demand.tokens <= demand.limitTokens) {
                return Optional.of(candidate);
            }
            if (!isProtected && candidate.mayProtect(nowMillis)) {
                isProtected = true;
                candidate.protect(nowMillis);
                usedTokens += demand.tokens;
                usedSlots++;
            }
        }
        return Optional.empty();
    }

    /**
     * Renews a reservation, whether or not this node granted it. A new reservation owner rebuilds its table from renewals. A
     * renewal that arrives after the release has no effect.
     *
     * @param node the name of the node that holds the reservation
     * @param id the id that the node assigned to the reservation
     * @param demand the reserved capacity
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void renew(String node, long id, Demand demand, long nowMillis) {
        Holder holder = new Holder(node, id);
        if (isReleased(demand.worker, holder)) {
            return;
        }
        WorkerState worker = getState(demand.worker, nowMillis);
        worker.waiting.remove(holder);
        worker.reservations.merge(
                holder,
                new Reservation(demand.tokens, nowMillis + leaseMillis, Optional.empty()),
                (old, renewed) -> old.renew(demand.tokens, nowMillis + leaseMillis));
    }

    /**
     * Releases a reservation or withdraws a waiting request. An unknown one is ignored. Waiting requests that fit now are
     * returned by {@link #takeGrants}.
     *
     * @param worker the id of the worker
     * @param node the name of the node that holds the reservation
     * @param id the id that the node assigned to the reservation
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void release(String worker, String node, long id, long nowMillis) {
        Holder holder = new Holder(node, id);
        WorkerState state = getState(worker, nowMillis);
        Reservation reservation = state.reservations.remove(holder);
        if (reservation != null) {
            reservation.sinceMillis.ifPresent(since -> state.recordHeld(nowMillis - since));
        }
        state.waiting.remove(holder);
        state.granted.remove(holder);
        releasedMillis.values().removeIf(m -> nowMillis - m > leaseMillis);
        releasedMillis.put(new Released(worker, holder), nowMillis);
    }

    /**
     * Counts the reserved tokens of a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the number of tokens
     */
    public synchronized int countTokens(String worker, long nowMillis) {
        return sumTokens(getState(worker, nowMillis).reservations);
    }

    /** Gets the state of a worker without what has expired. */
    private WorkerState getState(String worker, long nowMillis) {
        WorkerState state = workers.computeIfAbsent(worker, w -> new WorkerState());
        state.reservations.values().removeIf(r -> r.expiryMillis <= nowMillis);
        state.waiting.values().removeIf(w -> w.expiryMillis <= nowMillis);
        return state;
    }

    private static int sumTokens(Map<Holder, Reservation> reservations) {
        return reservations.values().stream().mapToInt(Reservation::tokens).sum();
    }

    /**
     * Capacity of a worker that a request needs. Times are durations, because the clocks of nodes are not synchronized.
     *
     * @param worker the id of the worker
     * @param tokens the requested KV cache memory, in tokens; 0 for plain services
     * @param limitTokens the number of tokens that all reservations of the worker may have together
     * @param slots the number of reservations that the worker may have
     * @param urgency the rank in the order of admission; 0 is the most urgent
     * @param ageMillis the time since the request arrived, in milliseconds
     * @param overdueInMillis the time until the request can no longer be on time, in milliseconds; negative if it is overdue
     * @param waitMillis the time for which the request waits if there is no capacity, in milliseconds; 0 if it does not wait
     * @param assumeGranted whether the request counts as granted if the reservation owner does not reply, because the worker
     *     is believed to have free capacity; otherwise it counts as rejected
     */
    public record Demand(
            String worker,
            int tokens,
            int limitTokens,
            int slots,
            int urgency,
            long ageMillis,
            long overdueInMillis,
            long waitMillis,
            boolean assumeGranted) {

        /**
         * Gets the demand as it is some time later.
         *
         * @param millis the time since this demand was made, in milliseconds
         * @return the same demand with all times adjusted
         */
        public Demand after(long millis) {
            return new Demand(
                    worker,
                    tokens,
                    limitTokens,
                    slots,
                    urgency,
                    ageMillis + millis,
                    overdueInMillis - millis,
                    Math.max(0, waitMillis - millis),
                    assumeGranted);
        }
    }

    /**
     * Identifies a reservation.
     *
     * @param node the name of the node that holds it
     * @param id the id that the node assigned to it
     */
    public record Holder(String node, long id) {}

    private record Released(String worker, Holder holder) {}

    /** A granted reservation; a renewal by which this owner learned of it does not tell when it was granted. */
    private record Reservation(int tokens, long expiryMillis, Optional<Long> sinceMillis) {
        Reservation renew(int newTokens, long newExpiryMillis) {
            return new Reservation(newTokens, newExpiryMillis, sinceMillis);
        }
    }

    private static final class WorkerState {
        final Map<Holder, Reservation> reservations = new HashMap<>();
        final Map<Holder, Waiting> waiting = new HashMap<>();

        /** Waiting requests that have been granted, of which the holders do not know yet. */
        final List<Holder> granted = new ArrayList<>();

        /** Number of grants to one of several waiting requests. */
        long chosen;

        /** Mean time for which reservations are held; 0 if it is not known. */
        double heldMillis;

        /** Gets the waiting requests in the order in which they are granted. */
        List<Waiting> getOrder(long nowMillis) {
            List<Waiting> onTime = new ArrayList<>();
            List<Waiting> overdue = new ArrayList<>();
            waiting.values().forEach(w -> (w.isOverdue(nowMillis) ? overdue : onTime).add(w));
            onTime.sort(MOST_URGENT_FIRST);
            overdue.sort(MOST_URGENT_FIRST);
            if (chosen % GRANTS_PER_OLDEST == GRANTS_PER_OLDEST - 1) {
                onTime.stream().min(OLDEST_FIRST).ifPresent(oldest -> {
                    onTime.remove(oldest);
                    onTime.add(0, oldest);
                });
            }
            onTime.addAll(overdue);
            return onTime;
        }

        /** Records for how long a reservation was held. */
        void recordHeld(long millis) {
            heldMillis = heldMillis == 0 ? millis : heldMillis + HELD_WEIGHT * (millis - heldMillis);
        }

        /**
         * Returns whether a request for a slot alone would wait for longer than it wants to. Requests for memory need so
         * different amounts of it that their holders estimate the wait from all workers.
         */
        boolean isWaitTooLong(Waiting request, long nowMillis) {
            if (request.demand.limitTokens > 0) {
                return false;
            }
            int ahead = getOrder(nowMillis).indexOf(request);
            double expectedMillis =
                    WAIT_MARGIN * WAITING_WEIGHT * (ahead + 1) * heldMillis / Math.max(1, request.demand.slots);
            return expectedMillis > request.demand.waitMillis;
        }

        void grant(Waiting request, long nowMillis, long leaseMillis) {
            chosen += waiting.size() > 1 ? 1 : 0;
            waiting.remove(request.holder);
            reservations.put(
                    request.holder,
                    new Reservation(request.demand.tokens, nowMillis + leaseMillis, Optional.of(nowMillis)));
            granted.add(request.holder);
        }
    }

    private static final class Waiting {
        final Holder holder;
        final Demand demand;
        final long repeatedMillis;
        final long arrivalMillis;
        final long overdueMillis;
        final long expiryMillis;
        long sequenceNumber;
        Optional<Long> protectedSinceMillis = Optional.empty();

        Waiting(Holder holder, Demand demand, long nowMillis, long sequenceNumber) {
            this.holder = holder;
            this.demand = demand;
            this.repeatedMillis = nowMillis;
            this.arrivalMillis = nowMillis - demand.ageMillis;
            this.overdueMillis = nowMillis + demand.overdueInMillis;
            this.expiryMillis = nowMillis + Math.min(Math.max(1, demand.waitMillis), REPEAT_TIMEOUT_MILLIS);
            this.sequenceNumber = sequenceNumber;
        }

        boolean isOverdue(long nowMillis) {
            return overdueMillis < nowMillis;
        }

        /** Capacity that is kept free for an overdue request would be idle for nothing. */
        boolean mayProtect(long nowMillis) {
            return demand.waitMillis > 0
                    && !isOverdue(nowMillis)
                    && nowMillis - repeatedMillis < PROTECTION_REPEAT_MILLIS
                    && protectedSinceMillis
                            .filter(m -> nowMillis - m >= MAX_PROTECTION_MILLIS)
                            .isEmpty();
        }

        void protect(long nowMillis) {
            protectedSinceMillis = protectedSinceMillis.or(() -> Optional.of(nowMillis));
        }
    }
}
