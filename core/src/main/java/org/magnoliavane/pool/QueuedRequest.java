package org.magnoliavane.pool;

/**
 * Holds a queued request with the estimates that determine its order.
 *
 * <p>Immutable and thread-safe. Times are in microseconds.
 *
 * @param request the request
 * @param sequence the sequence number of arrival, which breaks ties
 * @param offeredMicros the time at which it was offered
 * @param dueMicros the time at which the first token is due
 * @param latestStartMicros the latest time at which the prefill can start
 * @param prefillMicros the estimated duration of the prefill without cached tokens
 * @param holdMicros the estimated time for which decode memory is held, from the start of the prefill
 * @param pieces the number of pieces to reserve
 * @param prefillCost the shortest estimated prefill time, divided by the number of prefill workers
 * @param decodeCost the time of a decode worker that the request takes, divided by the number of decode workers
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

    double getCost() {
        return prefillCost + decodeCost;
    }

    String attempt() {
        return request.attempt();
    }
}
