package org.magnoliavane.pool;

import org.magnoliavane.config.ModelSettings;

/**
 * Estimates durations and memory from the settings of the engines.
 *
 * <p>Immutable and thread-safe. Times are in microseconds.
 */
final class WorkModel {
    private static final long MICROS = 1_000_000L;

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

    long lifetimeMicros() {
        return settings.prefillLifetimeMillis() * 1000;
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

    /** Gets the pieces to reserve, which never exceed what the longest possible answer needs. */
    int piecesToReserve(PlacementRequest request) {
        int output = (int) Math.min(request.maxOutputTokens(), request.expectedOutputTokens() * tuning.outputMargin());
        return pieces(request.promptTokens() + Math.max(1, output));
    }
}
