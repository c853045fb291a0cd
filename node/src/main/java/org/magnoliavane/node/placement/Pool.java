package org.magnoliavane.node.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.magnoliavane.BackendServer;
import org.magnoliavane.FaultKind;
import org.magnoliavane.NodeRun;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.config.Service;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.poison.PoisonStatus;
import org.magnoliavane.pool.AttemptPhase;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;
import org.magnoliavane.pool.PoolScheduler;
import org.magnoliavane.pool.PoolWorker;
import org.magnoliavane.pool.SchedulerDecision;

/**
 * Coordinates one pool: passes requests and reports to its scheduler, isolates suspected poison requests, and notifies
 * nodes of the decisions.
 *
 * <p>Not thread-safe; all calls come from the thread of the coordinator. Times are microseconds of one monotonic clock.
 */
final class Pool {
    /** Time for which a node may be unreachable before its attempts are released. */
    static final long UNREACHABLE_NODE_GRACE_MICROS = 5_000_000;

    /** Time after the start of the node for which an empty pool means that the VM list has not been read yet. */
    private static final long VM_LIST_GRACE_MICROS = 2_000_000;

    /** A transfer that fails earlier was caused by an expired prefill or a crashed worker, not by a stalled link. */
    private static final long MIN_STALL_MICROS = 1_000_000;

    /** Time for which a prefill worker with a stalled link gets no new attempts while another worker is available. */
    private static final long STALLED_LINK_AVOIDANCE_MICROS = 5_000_000;

    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final int MAX_ENDED = 20_000;

    /** Largest number of scheduler calls per event, because applying a decision can make further decisions possible. */
    private static final int MAX_DECISION_ROUNDS = 4;

    private final PoisonRegistry poison;
    private final Function<Service, PoolScheduler> schedulerFactory;
    private final BiConsumer<PoolAttempt, Collection<BackendServer>> workerProbe;
    private final Map<String, PoolAttempt> attempts = new LinkedHashMap<>();
    private final Map<String, PoolAttempt> pending = new LinkedHashMap<>();
    /** Number of active attempts that block copies, by content hash. */
    private final Map<Long, Integer> activeByContent = new HashMap<>();

    private final EndedAttempts ended = new EndedAttempts(MAX_ENDED);
    /** Number of unfinished crash probes, by content hash. */
    private final Map<Long, Integer> probesByContent = new HashMap<>();

    private final Map<String, Long> downSinceMicros = new HashMap<>();
    private final Map<String, Long> upSinceMicros = new HashMap<>();
    private final Map<String, Long> avoidedUntilMicros = new HashMap<>();
    private final Map<NodeRun, Long> missingSinceMicros = new HashMap<>();
    private Service service;
    private PoolScheduler scheduler;
    private Map<String, BackendServer> servers = Map.of();
    private List<PoolWorker> workers = List.of();
    private ClusterView lastView;

    /**
     * Creates a pool.
     *
     * @param service the service that the pool serves
     * @param schedulerFactory creates the scheduler; called again when the settings of the service change
     * @param poison the poison verdicts of this node
     * @param workerProbe probes the workers of an isolated attempt and passes the result to {@link #handleProbeResult}
     */
    Pool(
            Service service,
            Function<Service, PoolScheduler> schedulerFactory,
            PoisonRegistry poison,
            BiConsumer<PoolAttempt, Collection<BackendServer>> workerProbe) {
        this.service = service;
        this.schedulerFactory = schedulerFactory;
        this.poison = poison;
        this.workerProbe = workerProbe;
        scheduler = schedulerFactory.apply(service);
    }

    /** Returns whether the pool has no attempts. */
    boolean isIdle() {
        return attempts.isEmpty();
    }

    Collection<BackendServer> getServers() {
        return servers.values();
    }

    boolean hasAttempt(String attempt) {
        return attempts.containsKey(attempt);
    }

    Optional<PoolAttempt> findEnded(String attempt) {
        return ended.find(attempt);
    }

    /** Gets the time at which the scheduler must be called again; empty when it needs no timer. */
    OptionalLong getNextWakeMicros() {
        return scheduler.getNextWakeMicros();
    }

    /** Places a new request, or one that was sent again because the connection or the coordinator changed. */
    void place(PlacementRequest request, NodeRun run, PlacementListener listener, long nowMicros) {
        PoolAttempt known = attempts.get(request.attempt());
        if (known == null) {
            if (request.isolated() && request.contentHash() != 0) {
                // The coordinator that detected the crash may be lost together with its verdict.
                poison.recordCrash(Set.of(request.contentHash()), Optional.empty());
            }
            add(new PoolAttempt(request, run, listener, nowMicros));
            decide(nowMicros);
            return;
        }
        known.listener = listener;
        if (known.isStarted()) {
            listener.onGrant(known.grant);
        }
    }

    /** Adopts an attempt that another coordinator started. */
    void adopt(
            PlacementRequest request,
            NodeRun run,
            Grant grant,
            Optional<AttemptProgress> progress,
            PlacementListener listener,
            long nowMicros) {
        PoolAttempt known = attempts.get(request.attempt());
        if (known != null && known.isStarted()) {
            known.listener = listener;
            progress.ifPresent(report -> handleProgress(report, nowMicros));
            return;
        }
        Optional<String> end = ended.findEndReason(request.attempt());
        if (end.isPresent()) {
            listener.onEnd(end.get());
            return;
        }
        if (known != null) {
            withdraw(request.attempt(), nowMicros);
        }
        PoolAttempt adopted = new PoolAttempt(request, run, listener, nowMicros);
        adopted.isolated = grant.isolated();
        adopted.grant = grant;
        adopted.grantedMicros = nowMicros;
        adopted.progress = progress.orElse(null);
        add(adopted);
        setState(adopted, PoolAttempt.State.STARTED);
        scheduler.adopt(request, grant.toStartDecision(), adopted.getLastProgress(), nowMicros);
        decide(nowMicros);
    }

    /**
     * Releases the attempts of a node run except the given ones. The released attempts may continue: another
     * coordinator may have adopted them, or another node may resume them.
     */
    void retain(NodeRun run, Set<String> retained, long nowMicros) {
        List<String> dropped = attempts.values().stream()
                .filter(a -> a.run.equals(run) && !retained.contains(a.getId()))
                .map(PoolAttempt::getId)
                .toList();
        for (String attempt : dropped) {
            PoolAttempt known = remove(attempt);
            scheduler.withdraw(attempt, nowMicros);
            if (known.isStarted()) {
                known.ownerLost = true;
                ended.add(known, nowMicros);
            }
        }
        decide(nowMicros);
    }

    /** Withdraws an attempt and returns the workers whose crash may have been the cause. */
    List<BackendServer> withdraw(String attempt, long nowMicros) {
        PoolAttempt known = remove(attempt);
        if (known == null) {
            return List.of();
        }
        if (known.isActive()) {
            scheduler.withdraw(attempt, nowMicros);
        }
        if (known.isStarted()) {
            known.progress = new AttemptProgress(attempt, AttemptPhase.CANCELLED, 0, 0);
            ended.add(known, nowMicros);
        }
        return known.isStarted() ? getSuspectedWorkers(known) : List.of();
    }

    /** Handles a progress report and returns the workers that may have crashed according to it. */
    List<BackendServer> handleProgress(AttemptProgress report, long nowMicros) {
        PoolAttempt known = attempts.get(report.attempt());
        if (known == null || !known.isStarted()) {
            return List.of();
        }
        known.progress = report;
        if (report.outputTokens() > 0 && !known.isolated) {
            unblockCopies(known);
        }
        if (report.phase() == AttemptPhase.PREFILLED) {
            known.prefilledMicros = nowMicros;
        }
        if (report.phase() == AttemptPhase.TRANSFER_FAILED && nowMicros - known.prefilledMicros >= MIN_STALL_MICROS) {
            avoidedUntilMicros.put(
                    known.grant.placement().prefillWorker().id(), nowMicros + STALLED_LINK_AVOIDANCE_MICROS);
            updateWorkers(nowMicros);
        }
        scheduler.updateProgress(report, nowMicros);
        List<BackendServer> suspects = List.of();
        if (report.phase().isTerminal()) {
            remove(report.attempt());
            ended.add(known, nowMicros);
            suspects = getSuspectedWorkers(known);
        }
        if (report.phase() == AttemptPhase.COMPLETED && known.request.contentHash() != 0) {
            poison.recordCompletion(known.request.contentHash(), known.isolated);
        }
        return suspects;
    }

    /**
     * Blocks the start of the contents that were on a worker until {@link #endCrashProbe}.
     *
     * @return the hashes of these contents, for {@link #endCrashProbe}
     */
    Set<Long> beginCrashProbe(String worker, long nowMicros) {
        Set<Long> contents = getContents(findAttemptsOn(worker, nowMicros));
        contents.forEach(content -> probesByContent.merge(content, 1, Integer::sum));
        return contents;
    }

    /** Allows the start of contents again after a crash probe. */
    void endCrashProbe(Set<Long> contents, long nowMicros) {
        contents.forEach(
                content -> probesByContent.computeIfPresent(content, (key, count) -> count > 1 ? count - 1 : null));
        decide(nowMicros);
    }

    /** Handles a refused connection to a worker; only the first one since the worker was last up counts as a crash. */
    void handleConnectionRefused(String worker, long nowMicros) {
        if (downSinceMicros.putIfAbsent(worker, nowMicros) != null) {
            return;
        }
        List<PoolAttempt> affected = findAttemptsOn(worker, nowMicros);
        Optional<Long> isolated = findIsolatedCause(affected)
                .map(attempt -> attempt.request.contentHash())
                .filter(content -> content != 0);
        Set<Long> contents = isolated.map(Set::of).orElseGet(() -> getContents(affected));
        if (!contents.isEmpty()) {
            poison.recordCrash(contents, isolated);
        }
        updateWorkers(nowMicros);
        decide(nowMicros);
    }

    /** Handles a load report, which also shows that the worker is up. */
    void handleReport(String worker, EngineLoadReport report, long ageMillis, long nowMicros) {
        if (downSinceMicros.remove(worker) != null) {
            upSinceMicros.put(worker, nowMicros);
            updateWorkers(nowMicros);
        }
        if (servers.containsKey(worker)) {
            scheduler.updateLoad(report.toWorkerLoad(worker, ageMillis), nowMicros);
        }
        decide(nowMicros);
    }

    /**
     * Handles the result of probing the workers of an isolated attempt before its start.
     *
     * @param refused the ids of the workers that refused the connection
     */
    void handleProbeResult(PoolAttempt attempt, Set<String> refused, long nowMicros) {
        if (attempts.get(attempt.getId()) != attempt || attempt.state != PoolAttempt.State.PROBING) {
            return;
        }
        if (refused.isEmpty()) {
            setState(attempt, PoolAttempt.State.STARTED);
            attempt.grantedMicros = nowMicros;
            attempt.listener.onGrant(attempt.grant);
            return;
        }
        setState(attempt, PoolAttempt.State.PENDING);
        attempt.grant = null;
        scheduler.withdraw(attempt.getId(), nowMicros);
        refused.forEach(worker -> handleConnectionRefused(worker, nowMicros));
        decide(nowMicros);
    }

    /** Applies the current cluster view and configuration, and handles timeouts. */
    void update(ClusterView view, Service current, long nowMicros) {
        if (!current.equals(service)) {
            rebuildScheduler(current, nowMicros);
        }
        if (view != lastView) {
            lastView = view;
            updateServers(view, nowMicros);
        }
        if (avoidedUntilMicros.values().removeIf(untilMicros -> nowMicros >= untilMicros)) {
            updateWorkers(nowMicros);
        }
        releaseLostRuns(view, nowMicros);
        refuseOverdue(nowMicros);
        ended.removeExpired(nowMicros);
        decide(nowMicros);
    }

    private void updateServers(ClusterView view, long nowMicros) {
        Map<String, BackendServer> next = new LinkedHashMap<>();
        for (BackendServer server : view.servers()) {
            if (server.service().equals(service.name()) && server.role() != WorkerRole.PLAIN) {
                next.put(server.id(), server);
            }
        }
        servers = next;
        downSinceMicros.keySet().retainAll(next.keySet());
        upSinceMicros.keySet().retainAll(next.keySet());
        updateWorkers(nowMicros);
    }

    /** Calls the scheduler and applies its decisions. */
    void decide(long nowMicros) {
        for (int round = 0; round < MAX_DECISION_ROUNDS; round++) {
            offerPending(nowMicros);
            List<SchedulerDecision> decisions = scheduler.decide(nowMicros);
            if (decisions.isEmpty()) {
                return;
            }
            decisions.forEach(decision -> applyDecision(decision, nowMicros));
        }
    }

    private void applyDecision(SchedulerDecision decision, long nowMicros) {
        PoolAttempt attempt = attempts.get(decision.attempt());
        if (attempt == null) {
            scheduler.withdraw(decision.attempt(), nowMicros);
            return;
        }
        if (decision instanceof SchedulerDecision.Start start) {
            start(attempt, start, nowMicros);
        } else if (decision instanceof SchedulerDecision.Refuse refusal) {
            remove(attempt.getId());
            attempt.listener.onRefusal(refusal);
        } else {
            ended.addEndReason(attempt.getId(), decision.explanation());
            attempt.listener.onEnd(decision.explanation());
        }
    }

    private void start(PoolAttempt attempt, SchedulerDecision.Start start, long nowMicros) {
        BackendServer prefill = servers.get(start.prefillWorker());
        BackendServer decode = servers.get(start.decodeWorker());
        if (prefill == null || decode == null || !mayStart(attempt)) {
            scheduler.withdraw(attempt.getId(), nowMicros);
            setState(attempt, PoolAttempt.State.PENDING);
            return;
        }
        Placement placement = new Placement(attempt.getId(), prefill, decode, start.pieces(), start.priority());
        attempt.grant = new Grant(placement, start.explanation(), attempt.isolated);
        attempt.grantedMicros = nowMicros;
        if (attempt.isolated) {
            setState(attempt, PoolAttempt.State.PROBING);
            workerProbe.accept(attempt, List.of(prefill, decode));
            return;
        }
        setState(attempt, PoolAttempt.State.STARTED);
        attempt.listener.onGrant(attempt.grant);
    }

    /** Returns whether the content may still start; a crash after the offer may have made it suspected. */
    private boolean mayStart(PoolAttempt attempt) {
        long content = attempt.request.contentHash();
        if (content == 0 || attempt.isolated) {
            return true;
        }
        return !probesByContent.containsKey(content) && poison.getStatus(content) == PoisonStatus.CLEARED;
    }

    private void offerPending(long nowMicros) {
        // Peers may select this node as coordinator before it has read the VM list for the first time.
        boolean listUnread = servers.isEmpty() && nowMicros < VM_LIST_GRACE_MICROS;
        if (!pending.isEmpty() && !listUnread) {
            new ArrayList<>(pending.values()).forEach(attempt -> offerIfAllowed(attempt, nowMicros));
        }
    }

    private void offerIfAllowed(PoolAttempt attempt, long nowMicros) {
        long content = attempt.request.contentHash();
        PoisonStatus status = content == 0 ? PoisonStatus.CLEARED : poison.getStatus(content);
        if (status == PoisonStatus.CONVICTED) {
            refuse(attempt, FaultKind.POISON, "the content crashed a worker that ran no other attempt");
            return;
        }
        // Copies of new content wait for the first token of the first copy. Copies that run in parallel could crash
        // more than the two workers that it takes to confirm a poison request. Waiting for the complete answer would
        // make urgent requests with the same content exceed their wait limit.
        boolean unproven = content != 0 && !poison.isKnownHarmless(content);
        if (probesByContent.containsKey(content) || unproven && activeByContent.containsKey(content)) {
            return;
        }
        attempt.isolated = attempt.request.isolated() || status == PoisonStatus.SUSPECTED;
        setState(attempt, PoolAttempt.State.OFFERED);
        scheduler.offer(attempt.toSchedulerRequest(nowMicros), nowMicros);
    }

    private void refuse(PoolAttempt attempt, FaultKind kind, String explanation) {
        remove(attempt.getId());
        attempt.listener.onRefusal(
                new SchedulerDecision.Refuse(attempt.getId(), kind, RETRY_AFTER_MILLIS, explanation));
    }

    private void refuseOverdue(long nowMicros) {
        for (PoolAttempt attempt : new ArrayList<>(pending.values())) {
            long waitedMillis = (nowMicros - attempt.arrivedMicros) / 1000;
            if (waitedMillis > Math.min(attempt.request.maxWaitMillis(), attempt.request.ttftMillis())) {
                refuse(
                        attempt,
                        FaultKind.OVERLOADED,
                        "a request with the same content was active or under test for longer than the wait limit");
            }
        }
    }

    private void rebuildScheduler(Service current, long nowMicros) {
        service = current;
        scheduler = schedulerFactory.apply(current);
        workers = List.of();
        updateWorkers(nowMicros);
        for (PoolAttempt attempt : new ArrayList<>(attempts.values())) {
            if (attempt.isStarted()) {
                scheduler.adopt(attempt.request, attempt.grant.toStartDecision(), attempt.getLastProgress(), nowMicros);
            } else {
                setState(attempt, PoolAttempt.State.PENDING);
                attempt.grant = null;
            }
        }
    }

    private void updateWorkers(long nowMicros) {
        List<BackendServer> running = servers.values().stream()
                .filter(s -> !downSinceMicros.containsKey(s.id()))
                .toList();
        boolean hasAlternative = running.stream()
                .anyMatch(
                        s -> s.role() == WorkerRole.PREFILL && !s.leaving() && !avoidedUntilMicros.containsKey(s.id()));
        List<PoolWorker> next = running.stream()
                .map(s -> new PoolWorker(
                        s.id(),
                        s.role(),
                        s.zone(),
                        s.leaving() || hasAlternative && avoidedUntilMicros.containsKey(s.id())))
                .toList();
        if (!next.equals(workers)) {
            workers = next;
            scheduler.updateWorkers(next, nowMicros);
        }
    }

    private void releaseLostRuns(ClusterView view, long nowMicros) {
        Set<NodeRun> runs = new HashSet<>();
        attempts.values().forEach(attempt -> runs.add(attempt.run));
        missingSinceMicros.keySet().retainAll(runs);
        for (NodeRun run : runs) {
            Optional<NodeRun> current = view.findNode(run.node()).map(node -> node.run());
            if (current.filter(run::equals).isPresent()) {
                missingSinceMicros.remove(run);
                continue;
            }
            long sinceMicros = missingSinceMicros.computeIfAbsent(run, key -> nowMicros);
            if (current.isPresent() || nowMicros - sinceMicros > UNREACHABLE_NODE_GRACE_MICROS) {
                retain(run, Set.of(), nowMicros);
            }
        }
    }

    private void add(PoolAttempt attempt) {
        ended.remove(attempt.getId());
        attempts.put(attempt.getId(), attempt);
        pending.put(attempt.getId(), attempt);
    }

    private PoolAttempt remove(String id) {
        PoolAttempt attempt = attempts.remove(id);
        pending.remove(id);
        if (attempt != null) {
            unblockCopies(attempt);
        }
        return attempt;
    }

    private void setState(PoolAttempt attempt, PoolAttempt.State state) {
        boolean wasActive = attempt.isActive();
        attempt.state = state;
        if (wasActive && !attempt.isActive()) {
            unblockCopies(attempt);
            pending.put(attempt.getId(), attempt);
        } else if (!wasActive && attempt.isActive()) {
            attempt.blocksCopies = true;
            activeByContent.merge(attempt.request.contentHash(), 1, Integer::sum);
            pending.remove(attempt.getId());
        }
    }

    /** Stops this attempt from blocking other attempts with the same content. */
    private void unblockCopies(PoolAttempt attempt) {
        if (!attempt.blocksCopies) {
            return;
        }
        attempt.blocksCopies = false;
        activeByContent.computeIfPresent(attempt.request.contentHash(), (key, count) -> count > 1 ? count - 1 : null);
    }

    private List<PoolAttempt> findAttemptsOn(String worker, long nowMicros) {
        List<PoolAttempt> result = new ArrayList<>();
        for (PoolAttempt attempt : attempts.values()) {
            if (attempt.mayRunOn(worker) && attempt.isStarted()) {
                result.add(attempt);
            }
        }
        result.addAll(ended.findPossiblyRunning(worker, upSinceMicros.getOrDefault(worker, Long.MIN_VALUE), nowMicros));
        return result;
    }

    /** Finds the isolated attempt among the attempts affected by a crash if all others ended before it was placed. */
    private static Optional<PoolAttempt> findIsolatedCause(List<PoolAttempt> affected) {
        List<PoolAttempt> isolated = affected.stream().filter(a -> a.isolated).toList();
        if (isolated.isEmpty()) {
            return Optional.empty();
        }
        PoolAttempt last = isolated.get(0);
        for (PoolAttempt attempt : isolated) {
            last = attempt.grantedMicros > last.grantedMicros ? attempt : last;
        }
        for (PoolAttempt other : affected) {
            if (other != last && other.endedMicros > last.grantedMicros) {
                return Optional.empty();
            }
        }
        return Optional.of(last);
    }

    private static List<BackendServer> getSuspectedWorkers(PoolAttempt attempt) {
        Placement placement = attempt.grant.placement();
        return switch (attempt.progress.phase()) {
            case PREFILL_FAILED -> List.of(placement.prefillWorker());
            case DECODE_FAILED -> List.of(placement.decodeWorker());
            // A caller that disconnects at the moment of a crash hides the failure report.
            case TRANSFER_FAILED, CANCELLED -> List.of(placement.prefillWorker(), placement.decodeWorker());
            default -> List.of();
        };
    }

    private static Set<Long> getContents(List<PoolAttempt> affected) {
        Set<Long> contents = new HashSet<>();
        affected.forEach(attempt -> contents.add(attempt.request.contentHash()));
        contents.remove(0L);
        return contents;
    }
}
