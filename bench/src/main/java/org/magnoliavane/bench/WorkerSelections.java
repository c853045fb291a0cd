package org.magnoliavane.bench;

import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.bench.LoadReportScheduler.WorkerEstimate;
import org.magnoliavane.bench.LoadReportScheduler.WorkerSelection;

/**
 * Creates the rules by which the baselines select workers. The rules are not thread-safe.
 */
final class WorkerSelections {
    /** Orders prefill workers by their queue, decode workers by their free memory, the least loaded first. */
    private static final Comparator<WorkerEstimate> LEAST_LOADED_FIRST = Comparator.comparingLong(
            each -> each.role == WorkerRole.PREFILL ? each.estimateQueuedTokens() : -each.estimateFreePieces());

    private WorkerSelections() {}

    /** Selects the workers in turn. The first worker differs between nodes. */
    static WorkerSelection roundRobin(long start) {
        int[] next = {Math.floorMod(start, 97)};
        return (request, workers) -> workers.get(next[0]++ % workers.size());
    }

    /** Selects the worker with the shortest queue or the most free memory. Ties are broken at random. */
    static WorkerSelection leastLoaded(long seed) {
        Random random = new Random(seed);
        return (request, workers) -> {
            int offset = random.nextInt(workers.size());
            WorkerEstimate best = workers.get(offset);
            for (int i = 1; i < workers.size(); i++) {
                WorkerEstimate each = workers.get((offset + i) % workers.size());
                best = LEAST_LOADED_FIRST.compare(each, best) < 0 ? each : best;
            }
            return best;
        };
    }

    /** Selects the less loaded of two workers that are drawn at random. */
    static WorkerSelection twoChoices(long seed) {
        Random random = new Random(seed);
        return (request, workers) -> {
            WorkerEstimate first = workers.get(random.nextInt(workers.size()));
            WorkerEstimate second = workers.get(random.nextInt(workers.size()));
            return LEAST_LOADED_FIRST.compare(second, first) < 0 ? second : first;
        };
    }

    /**
     * Selects the worker to which the first prefix hash maps. Selects the least loaded worker instead when the queue
     * of that worker is longer than the limit, or when the prompt has no prefix hash.
     */
    static WorkerSelection prefixAffine(long seed, long maxQueueTokens) {
        WorkerSelection fallback = leastLoaded(seed);
        return (request, workers) -> {
            List<Long> hashes = request.prefixHashes();
            if (hashes.isEmpty()) {
                return fallback.select(request, workers);
            }
            int index = (int) Math.floorMod(hashes.get(0) * 0x9E3779B97F4A7C15L >>> 17, (long) workers.size());
            WorkerEstimate preferred = workers.get(index);
            return preferred.estimateQueuedTokens() > maxQueueTokens ? fallback.select(request, workers) : preferred;
        };
    }
}
