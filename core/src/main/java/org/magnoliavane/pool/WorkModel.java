package org.magnoliavane.pool;

import org.magnoliavane.config.ModelSettings;

/**
 * Estimates durations and memory from the settings of the engines.
 *
 * <p>Immutable and thread-safe. Times are in microseconds.
 */
final class WorkModel {
    private static final long MICROS = 1_000_000L;

    private static final double LINK_WAIT_SHARE = 0.75;
    private static final double MARGIN_PER_WEIGHT = 0.1;

    private final ModelSettings settings;
    private final SchedulerTuning tuning;

    WorkModel(ModelSettings settings, SchedulerTuning tuning) {
        this.settings = settings;
        this.tuning = tuning;
    }

    int decodePieces() {
        return settings.decodePieces();
    }

    int pieceTokens() {
        return settings.pieceTokens();
    }

    long prefillMicros(int tokens) {
        return tuning.prefillOverheadMicros() + tokens * MICROS / settings.prefillTokensPerSecond();
    }

    long transferMicros(int tokens) {
        return tokens * MICROS / settings.transferTokensPerSecond();
    }

    /** Gets the longest estimated wait for a link; the rest of the lifetime covers what the estimate misses. */
    long longestLinkWaitMicros() {
        double share = LINK_WAIT_SHARE * (1 - settings.wastedPrefillWeight() / 2);
        return (long) (settings.prefillLifetimeMillis() * 1000 * share);
    }

    long stepMicros(int streams) {
        return tuning.stepBaseMicros() + tuning.stepPerStreamMicros() * streams;
    }

    long usualStepMicros() {
        return (long) (settings.decodeStepMillis() * 1000);
    }

    /**
     * Gets the time of a decode worker that a request takes: its share of memory over the base time of each step and
     * over the time before its import, and the time that its stream adds to each step.
     */
    double decodeCost(PlacementRequest request, int pieces, long beforeImportMicros) {
        double share = (double) pieces / settings.decodePieces();
        double token = tuning.stepBaseMicros() * share + tuning.stepPerStreamMicros();
        return request.expectedOutputTokens() * token + beforeImportMicros * share;
    }

    int pieces(int tokens) {
        return Math.max(1, (tokens + settings.pieceTokens() - 1) / settings.pieceTokens());
    }

    /** Gets the output margin; where waste weighs more, fewer answers outgrow their memory and take it from transfers. */
    private double outputMargin() {
        return tuning.outputMargin() * (1 + MARGIN_PER_WEIGHT * settings.wastedPrefillWeight());
    }

    /** Gets the pieces to reserve; the margin exceeds neither the longest possible answer nor a whole worker. */
    int piecesToReserve(PlacementRequest request) {
        int output = (int) Math.min(request.maxOutputTokens(), request.expectedOutputTokens() * outputMargin());
        int wanted = pieces(request.promptTokens() + Math.max(1, output));
        int least = pieces(request.promptTokens() + request.expectedOutputTokens());
        return Math.min(wanted, Math.max(least, settings.decodePieces()));
    }
}
