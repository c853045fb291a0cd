package org.magnoliavane.pool;

/**
 * Holds a request that waits for its start, with the estimates by which it is ordered.
 *
 * <p>Immutable and thread-safe. Times are in microseconds.
 *
 * @param request the request
 * @param sequence the order of arrival, which breaks ties
 * @param offeredMicros the time of the offer
 * @param dueMicros the time at which the first token is due
 * @param latestStartMicros the latest time at which the prefill can start
 * @param prefillMicros the duration of the prefill without cached tokens
 * @param holdMicros the time for which decode memory is held, from the start of the prefill
 * @param pieces the pieces to reserve
 * @param prefillCost the share of all prefill workers' time that the request takes
 * @param decodeCost the share of all decode memory's time that the request takes
 */
record QueuedRequest(
        PlacementRequest request,
        long sequence,
        long offeredMicros,
        long dueMicros,
        long latestStartMicros,
        long prefillMicros,
        long holdMicros,
        int pieces,
        double prefillCost,
        double decodeCost) {

    double cost() {
        return prefillCost + decodeCost;
    }

    String attempt() {
        return request.attempt();
    }
}
