package org.magnoliavane.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;

/**
 * Simulates the queue on the estimated free times of the prefill workers and of decode memory.
 *
 * <p>Requests are simulated in the order of their latest start. When a request would start too late, the request with
 * the largest weighted cost among it and those before it is shed. This rule of the Moore-Hodgson algorithm keeps the
 * number of late requests low.
 *
 * <p>Not thread-safe. Times are in microseconds.
 */
final class AdmissionPlan {
    private record Release(long atMicros, int pieces) {}

    private final long nowMicros;
    private final long[] prefillFreeMicros;
    private final int freePieces;
    private final List<Release> releases = new ArrayList<>();

    AdmissionPlan(long nowMicros, long[] prefillFreeMicros, int freePieces) {
        this.nowMicros = nowMicros;
        this.prefillFreeMicros = prefillFreeMicros;
        this.freePieces = freePieces;
    }

    /** Adds pieces of decode memory that are expected to be freed at a time. */
    void addRelease(long atMicros, int pieces) {
        releases.add(new Release(Math.max(nowMicros, atMicros), pieces));
    }

    /**
     * Finds the request to shed so that the first late one can start in time.
     *
     * @param queue the requests, in the order of their latest start
     * @param weightedCost the cost of a request; among the candidates the request with the largest cost is shed
     * @return the request to shed; empty when all can start in time
     */
    Optional<QueuedRequest> findRequestToShed(
            Collection<QueuedRequest> queue, ToDoubleFunction<QueuedRequest> weightedCost) {
        PriorityQueue<Long> workerFreeMicros = createWorkerQueue();
        PriorityQueue<Release> pending = new PriorityQueue<>((a, b) -> Long.compare(a.atMicros, b.atMicros));
        pending.addAll(releases);
        int free = freePieces;
        QueuedRequest mostCostly = null;
        double largestCost = Double.NEGATIVE_INFINITY;
        for (QueuedRequest each : queue) {
            double cost = weightedCost.applyAsDouble(each);
            if (cost >= largestCost) {
                largestCost = cost;
                mostCostly = each;
            }
            long start = workerFreeMicros.isEmpty() ? Long.MAX_VALUE : workerFreeMicros.poll();
            while (free < each.pieces() && !pending.isEmpty()) {
                Release next = pending.poll();
                free += next.pieces;
                start = Math.max(start, next.atMicros);
            }
            if (free < each.pieces() || start > each.latestStartMicros()) {
                return Optional.of(mostCostly);
            }
            free -= each.pieces();
            workerFreeMicros.add(start + each.prefillMicros());
            pending.add(new Release(start + each.holdMicros(), each.pieces()));
        }
        return Optional.empty();
    }

    /** Estimates the time in microseconds until a request of this size could start behind the whole queue. */
    long estimateBacklogMicros(Collection<QueuedRequest> queue, int pieces) {
        long work = 0;
        int neededPieces = pieces;
        for (QueuedRequest each : queue) {
            work += each.prefillMicros();
            neededPieces += each.pieces();
        }
        long prefillWait = prefillFreeMicros.length == 0
                ? 0
                : computeMean(prefillFreeMicros) - nowMicros + work / prefillFreeMicros.length;
        return Math.max(prefillWait, estimateMemoryWaitMicros(neededPieces));
    }

    private long estimateMemoryWaitMicros(int neededPieces) {
        List<Release> sorted = new ArrayList<>(releases);
        sorted.sort((a, b) -> Long.compare(a.atMicros, b.atMicros));
        int free = freePieces;
        long at = nowMicros;
        for (Release each : sorted) {
            if (free >= neededPieces) {
                break;
            }
            free += each.pieces;
            at = each.atMicros;
        }
        return at - nowMicros;
    }

    private PriorityQueue<Long> createWorkerQueue() {
        PriorityQueue<Long> queue = new PriorityQueue<>();
        for (long each : prefillFreeMicros) {
            queue.add(each);
        }
        return queue;
    }

    private static long computeMean(long[] values) {
        long sum = 0;
        for (long each : values) {
            sum += each / values.length;
        }
        return sum;
    }
}
