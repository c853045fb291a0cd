package org.magnoliavane.pool;

/**
 * Tracks an attempt that was started and has not ended.
 *
 * <p>Not thread-safe. Times are in microseconds.
 */
final class StartedAttempt {
    final PlacementRequest request;
    final PrefillState prefill;
    final DecodeState decode;
    /** The estimated duration of the prefill without the tokens that are probably cached. */
    final long prefillMicros;
    /** The estimated duration of the prefill when no token is cached. */
    final long longestPrefillMicros;

    /** The number of reserved pieces. */
    int pieces;

    /** The number of pieces that the answer needs in addition to the reserved ones and that are not free yet. */
    int claimedPieces;

    /** The last reported phase; null while the prefill is not done. */
    AttemptPhase phase;

    int outputTokens;
    long reportedMicros;

    StartedAttempt(
            PlacementRequest request,
            PrefillState prefill,
            DecodeState decode,
            int pieces,
            long prefillMicros,
            long longestPrefillMicros) {
        this.request = request;
        this.prefill = prefill;
        this.decode = decode;
        this.pieces = pieces;
        this.prefillMicros = prefillMicros;
        this.longestPrefillMicros = longestPrefillMicros;
    }

    String attempt() {
        return request.attempt();
    }

    boolean isPrefilling() {
        return phase == null;
    }

    boolean isImported() {
        return phase == AttemptPhase.IMPORTED || phase == AttemptPhase.DECODING;
    }

    /** Estimates the number of tokens generated so far from the last report and the current step time. */
    int estimateOutputTokens(long nowMicros, long stepMicros) {
        if (!isImported()) {
            return 0;
        }
        long stepsSinceReport = Math.max(0, nowMicros - reportedMicros) / stepMicros;
        return (int) Math.min(request.maxOutputTokens(), outputTokens + stepsSinceReport);
    }
}
