package org.magnoliavane.balance;

import java.util.Collection;

import org.magnoliavane.balance.ReservationTable.Demand;

/**
 * Decides how the nodes share the slots, queue and connections of the workers of a plain service. If the nodes outnumber the
 * slots, so that a node cannot tell from its own requests how busy a worker is, each request needs a slot from the
 * reservation owner of its worker.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nodes the number of nodes
 * @param slots the number of slots of all workers of the service
 * @param maxConnections the maximum number of connections that one worker accepts
 */
public record PlainAdmission(int nodes, int slots, int maxConnections) {
    /** Number of requests beyond its slots that a worker is sent, so that it is never idle between two requests. */
    private static final int ADDITIONAL_SLOTS = 2;

    /**
     * Multiple of the expected duration of a request that must remain until its target when it is sent; workers slow down and
     * the response needs time as well.
     */
    private static final double SERVICE_TIME_FACTOR = 1.5;

    /** Share of the time limit that must remain when a request is sent that cannot be on time. */
    private static final double MIN_REMAINING_SHARE = 0.25;

    /** Smallest time after which the caller of a refused request may retry, as a share of its remaining time. */
    private static final double MIN_RETRY_SHARE = 1.0 / 6;

    /**
     * Describes a service.
     *
     * @param nodes the number of nodes
     * @param workers the workers of the service
     * @param maxConnections the maximum number of connections that one worker accepts
     * @return the decisions for the service
     */
    public static PlainAdmission of(int nodes, Collection<ListedWorker> workers, int maxConnections) {
        int slots = workers.stream()
                .filter(w -> !w.server().leaving())
                .mapToInt(ListedWorker::slots)
                .sum();
        return new PlainAdmission(nodes, slots, maxConnections);
    }

    /**
     * Returns whether requests need a slot from the reservation owner of their worker.
     *
     * @return true if the nodes outnumber the slots; a smaller fleet saves the messages
     */
    public boolean needsSlots() {
        return nodes > slots;
    }

    /**
     * Gets the number of requests that one node may have at one worker, each of which uses a connection.
     *
     * @return the share of a node in the connections, at least 1
     */
    public int getMaxRequestsPerWorker() {
        return Math.max(1, maxConnections / Math.max(1, nodes));
    }

    /**
     * Creates the demand for a slot. The request waits as long as it can still be on time, or if it cannot be any more, as
     * long as enough of its time limit remains.
     *
     * @param worker the worker
     * @param urgency the rank in the order of admission; 0 is the most urgent
     * @param times when the request arrived and has to be answered
     * @param serviceMillis the expected duration of the request, in milliseconds
     * @param waits whether the request waits for a slot; a hedged request does not
     * @param assumeGranted whether the request counts as granted if the reservation owner does not reply
     * @param nowMillis the current time, in milliseconds
     * @return the demand
     */
    public Demand createDemand(
            ListedWorker worker,
            int urgency,
            Times times,
            double serviceMillis,
            boolean waits,
            boolean assumeGranted,
            long nowMillis) {
        long limitMillis = times.deadlineMillis - times.arrivalMillis;
        long overdueInMillis =
                times.arrivalMillis + times.targetMillis - (long) (SERVICE_TIME_FACTOR * serviceMillis) - nowMillis;
        long latestStartInMillis = times.deadlineMillis - (long) (MIN_REMAINING_SHARE * limitMillis) - nowMillis;
        long waitMillis = Math.min(overdueInMillis > 0 ? overdueInMillis : latestStartInMillis, latestStartInMillis);
        return new Demand(
                worker.id(),
                0,
                0,
                worker.slots() + ADDITIONAL_SLOTS,
                urgency,
                nowMillis - times.arrivalMillis,
                overdueInMillis,
                waits ? Math.max(0, waitMillis) : 0,
                assumeGranted);
    }

    /**
     * Computes the time after which the caller of a refused request may retry.
     *
     * @param remainingMillis the time until its deadline, in milliseconds
     * @param random a random number between 0 and 1, so that callers do not return together
     * @return the time in milliseconds
     */
    public static long computeRetryAfterMillis(long remainingMillis, double random) {
        double share = MIN_RETRY_SHARE + (AdmissionForecast.MAX_WAIT_SHARE - MIN_RETRY_SHARE) * random;
        return (long) (share * Math.max(0, remainingMillis));
    }

    /**
     * The times of a request.
     *
     * @param arrivalMillis the arrival time, in milliseconds
     * @param targetMillis the target duration, in milliseconds
     * @param deadlineMillis the time at which the caller stops waiting, in milliseconds
     */
    public record Times(long arrivalMillis, long targetMillis, long deadlineMillis) {}
}
