package org.magnoliavane.bench;

import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.bench.ReportScheduler.Picker;
import org.magnoliavane.bench.ReportScheduler.Worker;

/**
 * Creates the pickers of the baselines.
 */
final class Pickers {
    private static final Comparator<Worker> BY_LOAD = Comparator.comparingLong(
            each -> each.role == WorkerRole.PREFILL ? each.queuedTokens() : -each.freePieces());

    private Pickers() {}

    /** Takes the workers in turn; the first turn differs between nodes. */
    static Picker roundRobin(long start) {
        int[] next = {Math.floorMod(start, 97)};
        return (request, workers) -> workers.get(next[0]++ % workers.size());
    }

    /** Takes the worker with the shortest queue or the most free memory; equal ones in random order. */
    static Picker leastLoaded(long seed) {
        Random random = new Random(seed);
        return (request, workers) -> {
            int offset = random.nextInt(workers.size());
            Worker best = workers.get(offset);
            for (int i = 1; i < workers.size(); i++) {
                Worker each = workers.get((offset + i) % workers.size());
                best = BY_LOAD.compare(each, best) < 0 ? each : best;
            }
            return best;
        };
    }

    /** Takes the better one of two workers drawn at random. */
    static Picker twoChoices(long seed) {
        Random random = new Random(seed);
        return (request, workers) -> {
            Worker first = workers.get(random.nextInt(workers.size()));
            Worker second = workers.get(random.nextInt(workers.size()));
            return BY_LOAD.compare(second, first) < 0 ? second : first;
        };
    }

    /** Takes the worker that the first prefix hash names, unless its queue is longer than the limit. */
    static Picker prefixAffine(long seed, long spillTokens) {
        Picker spill = leastLoaded(seed);
        return (request, workers) -> {
            List<Long> hashes = request.prefixHashes();
            if (hashes.isEmpty()) {
                return spill.pick(request, workers);
            }
            int index = (int) Math.floorMod(hashes.get(0) * 0x9E3779B97F4A7C15L >>> 17, (long) workers.size());
            Worker home = workers.get(index);
            return home.queuedTokens() > spillTokens ? spill.pick(request, workers) : home;
        };
    }
}
