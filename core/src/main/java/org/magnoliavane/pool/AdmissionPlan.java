package org.magnoliavane.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;

/**
 * Plays the queue forward on the estimated free times of the prefill workers and of decode memory.
 *
 * <p>Requests are played in order of their latest start. When one would start too late, the request with the largest
 * weighted cost among it and those before it is given up, which keeps the number of answers in time high (the rule of
 * Moore and Hodgson). Not thread-safe.
 */
final class AdmissionPlan {
    private record Release(long atMicros, int pieces) {}

    private final long now;
    private final long[] prefillFree;
    private final int freePieces;
    private final List<Release> releases = new ArrayList<>();

    AdmissionPlan(long now, long[] prefillFree, int freePieces) {
        this.now = now;
        this.prefillFree = prefillFree;
        this.freePieces = freePieces;
    }

    void addRelease(long atMicros, int pieces) {
        releases.add(new Release(Math.max(now, atMicros), pieces));
    }

    /**
     * Finds the request to give up so that the first late one can start in time.
     *
     * @param queue the requests in order of their latest start
     * @param weightedCost the cost by which the victim is chosen
     * @return the request to give up; empty when all can start in time
     */
    Optional<QueuedRequest> findVictim(Collection<QueuedRequest> queue, ToDoubleFunction<QueuedRequest> weightedCost) {
        PriorityQueue<Long> servers = servers();
        PriorityQueue<Release> pending = new PriorityQueue<>((a, b) -> Long.compare(a.atMicros, b.atMicros));
        pending.addAll(releases);
        int free = freePieces;
        QueuedRequest victim = null;
        double worst = Double.NEGATIVE_INFINITY;
        for (QueuedRequest each : queue) {
            double cost = weightedCost.applyAsDouble(each);
            if (cost >= worst) {
                worst = cost;
                victim = each;
            }
            long start = servers.isEmpty() ? Long.MAX_VALUE : servers.poll();
            while (free < each.pieces() && !pending.isEmpty()) {
                Release next = pending.poll();
                free += next.pieces;
                start = Math.max(start, next.atMicros);
            }
            if (free < each.pieces() || start > each.latestStartMicros()) {
                return Optional.of(victim);
            }
            free -= each.pieces();
            servers.add(start + each.prefillMicros());
            pending.add(new Release(start + each.holdMicros(), each.pieces()));
        }
        return Optional.empty();
    }

    /** Estimates the time until a request of this size could start behind the whole queue. */
    long backlogMicros(Collection<QueuedRequest> queue, int pieces) {
        long work = 0;
        int wanted = pieces;
        for (QueuedRequest each : queue) {
            work += each.prefillMicros();
            wanted += each.pieces();
        }
        long prefillWait = prefillFree.length == 0 ? 0 : mean(prefillFree) - now + work / prefillFree.length;
        return Math.max(prefillWait, memoryWait(wanted));
    }

    private long memoryWait(int wanted) {
        List<Release> sorted = new ArrayList<>(releases);
        sorted.sort((a, b) -> Long.compare(a.atMicros, b.atMicros));
        int free = freePieces;
        long at = now;
        for (Release each : sorted) {
            if (free >= wanted) {
                break;
            }
            free += each.pieces;
            at = each.atMicros;
        }
        return at - now;
    }

    private PriorityQueue<Long> servers() {
        PriorityQueue<Long> servers = new PriorityQueue<>();
        for (long each : prefillFree) {
            servers.add(each);
        }
        return servers;
    }

    private static long mean(long[] values) {
        long sum = 0;
        for (long each : values) {
            sum += each / values.length;
        }
        return sum;
    }
}
