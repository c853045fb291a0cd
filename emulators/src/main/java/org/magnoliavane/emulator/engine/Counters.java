package org.magnoliavane.emulator.engine;

import java.util.Map;

/**
 * Counts the operations of an engine.
 *
 * <p>Not thread-safe.
 */
final class Counters {
    long prefillsStarted;
    long prefillsFinished;
    long prefillsTransferred;
    long prefillsLapsed;
    long prefillsCancelled;
    long prefillTokensComputed;
    long prefillTokensCached;
    long prefillTokensWasted;
    long decodesStarted;
    long decodesFinished;
    long decodesCancelled;
    long decodesFailed;
    long tokensGenerated;
    long memoryRefusals;
    long ordersAccepted;
    long ordersRefused;

    View toView(int piecesInUse, int totalPieces, Map<String, Integer> streamsByState) {
        return new View(
                prefillsStarted,
                prefillsFinished,
                prefillsTransferred,
                prefillsLapsed,
                prefillsCancelled,
                prefillTokensComputed,
                prefillTokensCached,
                prefillTokensWasted,
                decodesStarted,
                decodesFinished,
                decodesCancelled,
                decodesFailed,
                tokensGenerated,
                memoryRefusals,
                ordersAccepted,
                ordersRefused,
                piecesInUse,
                totalPieces,
                streamsByState);
    }

    /** Response to {@code GET /control/counters}. */
    record View(
            long prefillsStarted,
            long prefillsFinished,
            long prefillsTransferred,
            long prefillsLapsed,
            long prefillsCancelled,
            long prefillTokensComputed,
            long prefillTokensCached,
            long prefillTokensWasted,
            long decodesStarted,
            long decodesFinished,
            long decodesCancelled,
            long decodesFailed,
            long tokensGenerated,
            long memoryRefusals,
            long ordersAccepted,
            long ordersRefused,
            int piecesInUse,
            int totalPieces,
            Map<String, Integer> streamsByState) {}
}
