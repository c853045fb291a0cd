package org.magnoliavane.pool;

import org.magnoliavane.config.ModelSettings;

/**
 * Estimates durations and memory use of requests from the settings of the engines.
 *
 * <p>Immutable and thread-safe. Times are in microseconds.
 */
final class EngineEstimator {
    private static final long MICROS_PER_SECOND = 1_000_000L;

    private static final double MAX_LINK_WAIT_SHARE = 0.75;
    private static final double OUTPUT_MARGIN_PER_WEIGHT = 0.1;

    private final ModelSettings settings;
    private final SchedulerTuning tuning;

    EngineEstimator(ModelSettings settings, SchedulerTuning tuning) {
        this.settings = settings;
        this.tuning = tuning;
    }

    int getDecodePieces() {
        return settings.decodePieces();
    }

    int getPieceTokens() {
        return settings.pieceTokens();
    }

    long estimatePrefillMicros(int tokens) {
        return tuning.prefillOverheadMicros() + tokens * MICROS_PER_SECOND / settings.prefillTokensPerSecond();
    }

    long estimateTransferMicros(int tokens) {
        return tokens * MICROS_PER_SECOND / settings.transferTokensPerSecond();
    }

    /**
     * Gets the maximum estimated wait of a transfer for its link. It is only a part of the lifetime of a prefill
     * result, because the estimate may be too low.
     */
    long getMaxLinkWaitMicros() {
        double share = MAX_LINK_WAIT_SHARE * (1 - settings.wastedPrefillWeight() / 2);
        return (long) (settings.prefillLifetimeMillis() * 1000 * share);
    }

    long estimateStepMicros(int streams) {
        return tuning.stepBaseMicros() + tuning.stepPerStreamMicros() * streams;
    }

    long getNominalStepMicros() {
        return (long) (settings.decodeStepMillis() * 1000);
    }

    /**
     * Computes the time of a decode worker that a request takes, in microseconds. It is the share of memory that the
     * request reserves, multiplied by the base time of each step and by the time before the import, plus the time that
     * its stream adds to each step.
     */
    double computeDecodeCost(PlacementRequest request, int pieces, long beforeImportMicros) {
        double share = (double) pieces / settings.decodePieces();
        double perToken = tuning.stepBaseMicros() * share + tuning.stepPerStreamMicros();
        return request.expectedOutputTokens() * perToken + beforeImportMicros * share;
    }

    int countPieces(int tokens) {
        return Math.max(1, (tokens + settings.pieceTokens() - 1) / settings.pieceTokens());
    }

    /**
     * Gets the output margin. It grows with the weight of wasted prefill, so that fewer answers need more memory than
     * was reserved and compete with pending transfers for it.
     */
    private double getOutputMargin() {
        return tuning.outputMargin() * (1 + OUTPUT_MARGIN_PER_WEIGHT * settings.wastedPrefillWeight());
    }

    /**
     * Counts the pieces to reserve. The margin is limited by the longest possible answer and by the memory of a whole
     * worker.
     */
    int countPiecesToReserve(PlacementRequest request) {
        int output = (int) Math.min(request.maxOutputTokens(), request.expectedOutputTokens() * getOutputMargin());
        int withMargin = countPieces(request.promptTokens() + Math.max(1, output));
        int withoutMargin = countPieces(request.promptTokens() + request.expectedOutputTokens());
        return Math.min(withMargin, Math.max(withoutMargin, settings.decodePieces()));
    }
}
