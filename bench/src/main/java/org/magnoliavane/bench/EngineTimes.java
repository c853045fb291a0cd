package org.magnoliavane.bench;

import org.magnoliavane.config.ModelSettings;

/**
 * Computes the durations of the work of the modelled engines. All times are in microseconds. Thread-safe.
 */
final class EngineTimes {
    static final long PREFILL_OVERHEAD_MICROS = 10_000;
    static final long STEP_BASE_MICROS = 20_000;
    static final long STEP_MICROS_PER_STREAM = 500;

    private EngineTimes() {}

    static long getPrefillMicros(ModelSettings settings, int tokens) {
        return PREFILL_OVERHEAD_MICROS + tokens * 1_000_000L / settings.prefillTokensPerSecond();
    }

    static long getTransferMicros(ModelSettings settings, int tokens) {
        return tokens * 1_000_000L / settings.transferTokensPerSecond();
    }

    static long getStepMicros(int streams) {
        return STEP_BASE_MICROS + STEP_MICROS_PER_STREAM * streams;
    }

    /** Counts the pieces that hold a number of tokens, at least one. */
    static int countPieces(ModelSettings settings, int tokens) {
        return Math.max(1, (tokens + settings.pieceTokens() - 1) / settings.pieceTokens());
    }

    /**
     * Gets the shortest prefill time of a request, which it takes when all its shared pieces are cached.
     */
    static long getMinPrefillMicros(ModelSettings settings, Job job) {
        int cached = Math.min(job.promptTokens(), job.sharedPieces() * settings.pieceTokens());
        return getPrefillMicros(settings, job.promptTokens() - cached);
    }

    /**
     * Gets the least time of a decode worker that a request uses. Each token accounts for a part of the base time of a
     * step, in proportion to the memory of the request, and for the whole time that a stream adds to a step.
     */
    static double getMinDecodeMicros(ModelSettings settings, Job job) {
        double sum = 0;
        for (int token = 1; token <= job.outputTokens(); token++) {
            int pieces = countPieces(settings, job.promptTokens() + token);
            sum += (double) STEP_BASE_MICROS * pieces / settings.decodePieces() + STEP_MICROS_PER_STREAM;
        }
        return sum;
    }
}
