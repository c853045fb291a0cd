package org.magnoliavane.node.placement;

import org.magnoliavane.pool.PlacementRequest;

/**
 * Derives placement requests.
 */
final class Requests {
    private Requests() {}

    /**
     * Derives the request as it stands after some waiting.
     *
     * @param request the request as it was made
     * @param waitedMillis the time since then
     * @param isolated true when it must share no worker
     * @return the request with the times that are left; the wait is never below 0
     */
    static PlacementRequest afterWaiting(PlacementRequest request, long waitedMillis, boolean isolated) {
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
