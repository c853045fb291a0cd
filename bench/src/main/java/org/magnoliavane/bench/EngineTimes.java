package org.magnoliavane.bench;

import org.magnoliavane.config.ModelSettings;

/**
 * Holds the true durations of the engines. All times are in microseconds.
 */
final class EngineTimes {
    static final long PREFILL_OVERHEAD = 10_000;
    static final long STEP_BASE = 20_000;
    static final long STEP_PER_STREAM = 500;

    private EngineTimes() {}

    static long prefill(ModelSettings settings, int tokens) {
        return PREFILL_OVERHEAD + tokens * 1_000_000L / settings.prefillTokensPerSecond();
    }

    static long transfer(ModelSettings settings, int tokens) {
        return tokens * 1_000_000L / settings.transferTokensPerSecond();
    }

    static long step(int streams) {
        return STEP_BASE + STEP_PER_STREAM * streams;
    }

    static int pieces(ModelSettings settings, int tokens) {
        return Math.max(1, (tokens + settings.pieceTokens() - 1) / settings.pieceTokens());
    }

    /**
     * Gets the prefill time of a request when all its shared pieces are cached.
     */
    static long leastPrefill(ModelSettings settings, Job job) {
        int cached = Math.min(job.promptTokens(), job.sharedPieces() * settings.pieceTokens());
        return prefill(settings, job.promptTokens() - cached);
    }

    /**
     * Gets the least share of decode worker time that a request takes: each token takes its share of the step's base
     * time by memory, and the whole time that a stream adds.
     */
    static double leastDecode(ModelSettings settings, Job job) {
        double sum = 0;
        for (int token = 1; token <= job.outputTokens(); token++) {
            int pieces = pieces(settings, job.promptTokens() + token);
            sum += (double) STEP_BASE * pieces / settings.decodePieces() + STEP_PER_STREAM;
        }
        return sum;
    }
}
