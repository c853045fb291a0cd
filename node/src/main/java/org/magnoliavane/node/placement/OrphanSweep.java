package org.magnoliavane.node.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.magnoliavane.NodeRun;
import org.magnoliavane.membership.ClusterView;

/**
 * Finds attempts in engine reports that nobody drives any more.
 *
 * <p>Not thread-safe. Times are microseconds of one monotonic clock.
 */
final class OrphanSweep {
    /** Covers the lag of reports and of messages about the end of an attempt. */
    private static final long MARGIN_MICROS = 1_000_000;

    /** An attached stream of a node that cannot be reached may still have its caller. */
    private static final int ATTACHED_FACTOR = 3;

    private final Map<String, Map<String, Suspicion>> suspicions = new HashMap<>();

    /**
     * Takes a report.
     *
     * @param worker the worker
     * @param report its report
     * @param asOfMicros the time that the report describes
     * @param pool the pool of the worker
     * @param view the view of the nodes
     * @param windowMicros the time for which a stream without a reader is kept for resumption
     * @return the ids of the attempts to cancel
     */
    List<String> sweep(
            String worker, EngineReport report, long asOfMicros, Pool pool, ClusterView view, long windowMicros) {
        Map<String, Suspicion> known = suspicions.computeIfAbsent(worker, key -> new HashMap<>());
        Set<String> seen = new HashSet<>();
        List<String> orphans = new ArrayList<>();
        for (EngineAttempt attempt : report.attempts()) {
            Optional<NodeRun> owner = Optional.ofNullable(attempt.owner()).flatMap(NodeRun::parse);
            if (isEnded(attempt, owner, asOfMicros, pool)) {
                orphans.add(attempt.attempt());
                continue;
            }
            long limit = getLimit(attempt, owner, pool, view, windowMicros);
            if (limit == Long.MAX_VALUE) {
                continue;
            }
            seen.add(attempt.attempt());
            String reason = attempt.owner() + "/" + attempt.attached();
            Suspicion suspicion = known.get(attempt.attempt());
            if (suspicion == null || !suspicion.reason.equals(reason)) {
                known.put(attempt.attempt(), new Suspicion(reason, asOfMicros));
            } else if (asOfMicros - suspicion.sinceMicros >= limit) {
                orphans.add(attempt.attempt());
            }
        }
        known.keySet().retainAll(seen);
        return orphans;
    }

    /** Forgets the workers that are not named. */
    void retain(Set<String> workers) {
        suspicions.keySet().retainAll(workers);
    }

    private static boolean isEnded(EngineAttempt attempt, Optional<NodeRun> owner, long asOfMicros, Pool pool) {
        Optional<PoolAttempt> ended = pool.findEnded(attempt.attempt());
        if (ended.isEmpty() || ended.get().lost || pool.isInWork(attempt.attempt())) {
            return false;
        }
        // Another owner means that another node resumed the stream after the end of the first one.
        if (owner.isPresent() && !owner.get().equals(ended.get().run)) {
            return false;
        }
        return asOfMicros > ended.get().endedMicros + MARGIN_MICROS;
    }

    /** Gets the time for which an attempt may stay as it is; the largest value when it is no orphan. */
    private static long getLimit(
            EngineAttempt attempt, Optional<NodeRun> owner, Pool pool, ClusterView view, long windowMicros) {
        if (owner.isEmpty()) {
            return Long.MAX_VALUE;
        }
        Optional<NodeRun> current = view.findNode(owner.get().node()).map(node -> node.run());
        if (current.equals(owner)) {
            boolean driven = attempt.attached() || pool.isInWork(attempt.attempt());
            return driven ? Long.MAX_VALUE : windowMicros;
        }
        boolean unreachable = current.isEmpty();
        return attempt.attached() && unreachable ? ATTACHED_FACTOR * windowMicros : windowMicros;
    }

    private record Suspicion(String reason, long sinceMicros) {}
}
