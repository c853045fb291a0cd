package org.magnoliavane.node.placement;

import org.magnoliavane.pool.PlacementRequest;

/**
 * Creates modified copies of placement requests.
 */
final class PlacementRequests {
    private PlacementRequests() {}

    /**
     * Returns a copy of a request with the elapsed waiting time subtracted from its time limits.
     *
     * @param request the original request
     * @param waitedMillis the time since the request was made, in milliseconds
     * @param isolated true when the attempt must not share its workers with other attempts
     * @return the copy; its longest wait is at least 0, while its time to first token may be negative
     */
    static PlacementRequest subtractWait(PlacementRequest request, long waitedMillis, boolean isolated) {
        return new PlacementRequest(
                request.attempt(),
                request.service(),
                request.model(),
                request.partner(),
                request.zone(),
                request.priceClass(),
                request.microsPerToken(),
                request.promptTokens(),
                request.expectedOutputTokens(),
                request.maxOutputTokens(),
                request.prefixHashes(),
                request.contentHash(),
                request.ttftMillis() - waitedMillis,
                request.tbtMillis(),
                Math.max(0, request.maxWaitMillis() - waitedMillis),
                request.isolated() || isolated);
    }
}
