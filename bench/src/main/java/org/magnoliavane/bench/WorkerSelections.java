package org.magnoliavane.bench;

import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.bench.LoadReportScheduler.WorkerEstimate;
import org.magnoliavane.bench.LoadReportScheduler.WorkerSelection;

/**
 * Creates the pickers of the baselines.
 */
final class WorkerSelections {
    private static final Comparator<WorkerEstimate> LEAST_LOADED_FIRST = Comparator.comparingLong(
            each -> each.role == WorkerRole.PREFILL ? each.estimateQueuedTokens() : -each.estimateFreePieces());

    private WorkerSelections() {}

    /** Takes the workers in turn; the first turn differs between nodes. */
    static WorkerSelection roundRobin(long start) {
        int[] next = {Math.floorMod(start, 97)};
        return (request, workers) -> workers.get(next[0]++ % workers.size());
    }

    /** Takes the worker with the shortest queue or the most free memory; equal ones in random order. */
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

    /** Takes the better one of two workers drawn at random. */
    static WorkerSelection twoChoices(long seed) {
        Random random = new Random(seed);
        return (request, workers) -> {
            WorkerEstimate first = workers.get(random.nextInt(workers.size()));
            WorkerEstimate second = workers.get(random.nextInt(workers.size()));
            return LEAST_LOADED_FIRST.compare(second, first) < 0 ? second : first;
        };
    }

    /** Takes the worker that the first prefix hash names, unless its queue is longer than the limit. */
    static WorkerSelection prefixAffine(long seed, long spillTokens) {
        WorkerSelection spill = leastLoaded(seed);
        return (request, workers) -> {
            List<Long> hashes = request.prefixHashes();
            if (hashes.isEmpty()) {
                return spill.select(request, workers);
            }
            int index = (int) Math.floorMod(hashes.get(0) * 0x9E3779B97F4A7C15L >>> 17, (long) workers.size());
            WorkerEstimate home = workers.get(index);
            return home.estimateQueuedTokens() > spillTokens ? spill.select(request, workers) : home;
        };
    }
}
