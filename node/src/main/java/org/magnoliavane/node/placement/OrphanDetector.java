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
 * Finds orphaned attempts in engine reports: attempts that no node owns any more.
 *
 * <p>Not thread-safe. Times are microseconds of one monotonic clock.
 */
final class OrphanDetector {
    /** Bounds the delay of engine reports and of messages about the end of an attempt. */
    private static final long REPORT_LAG_MARGIN_MICROS = 1_000_000;

    /** Extends the grace time of an attached stream of an unreachable node, whose caller may still be connected. */
    private static final int ATTACHED_GRACE_FACTOR = 3;

    private final Map<String, Map<String, OrphanCandidate>> candidatesByWorker = new HashMap<>();

    /**
     * Finds the orphaned attempts in a load report.
     *
     * @param worker the worker
     * @param report its report
     * @param asOfMicros the time at which the engine made the report
     * @param pool the pool of the worker
     * @param view the cluster view with the nodes
     * @param windowMicros the time for which a stream without a reader is kept for resumption
     * @return the ids of the attempts to cancel
     */
    List<String> findOrphans(
            String worker, EngineLoadReport report, long asOfMicros, Pool pool, ClusterView view, long windowMicros) {
        Map<String, OrphanCandidate> candidates = candidatesByWorker.computeIfAbsent(worker, key -> new HashMap<>());
        Set<String> seen = new HashSet<>();
        List<String> orphans = new ArrayList<>();
        for (ReportedAttempt attempt : report.attempts()) {
            Optional<NodeRun> owner = Optional.ofNullable(attempt.owner()).flatMap(NodeRun::parse);
            if (isEnded(attempt, owner, asOfMicros, pool)) {
                orphans.add(attempt.attempt());
                continue;
            }
            long graceMicros = getGraceMicros(attempt, owner, pool, view, windowMicros);
            if (graceMicros == Long.MAX_VALUE) {
                continue;
            }
            seen.add(attempt.attempt());
            String reason = attempt.owner() + "/" + attempt.attached();
            OrphanCandidate candidate = candidates.get(attempt.attempt());
            if (candidate == null || !candidate.reason.equals(reason)) {
                candidates.put(attempt.attempt(), new OrphanCandidate(reason, asOfMicros));
            } else if (asOfMicros - candidate.sinceMicros >= graceMicros) {
                orphans.add(attempt.attempt());
            }
        }
        candidates.keySet().retainAll(seen);
        return orphans;
    }

    /** Removes the candidates on all workers except the given ones. */
    void retainWorkers(Set<String> workers) {
        candidatesByWorker.keySet().retainAll(workers);
    }

    private static boolean isEnded(ReportedAttempt attempt, Optional<NodeRun> owner, long asOfMicros, Pool pool) {
        Optional<PoolAttempt> ended = pool.findEnded(attempt.attempt());
        if (ended.isEmpty() || ended.get().ownerLost || pool.hasAttempt(attempt.attempt())) {
            return false;
        }
        // A different owner means that another node has resumed the stream after this attempt ended.
        if (owner.isPresent() && !owner.get().equals(ended.get().run)) {
            return false;
        }
        return asOfMicros > ended.get().endedMicros + REPORT_LAG_MARGIN_MICROS;
    }

    /** Gets the time after which an attempt counts as orphaned; {@link Long#MAX_VALUE} when it has an owner. */
    private static long getGraceMicros(
            ReportedAttempt attempt, Optional<NodeRun> owner, Pool pool, ClusterView view, long windowMicros) {
        if (owner.isEmpty()) {
            return Long.MAX_VALUE;
        }
        Optional<NodeRun> current = view.findNode(owner.get().node()).map(node -> node.run());
        if (current.equals(owner)) {
            boolean owned = attempt.attached() || pool.hasAttempt(attempt.attempt());
            return owned ? Long.MAX_VALUE : windowMicros;
        }
        boolean unreachable = current.isEmpty();
        return attempt.attached() && unreachable ? ATTACHED_GRACE_FACTOR * windowMicros : windowMicros;
    }

    private record OrphanCandidate(String reason, long sinceMicros) {}
}
