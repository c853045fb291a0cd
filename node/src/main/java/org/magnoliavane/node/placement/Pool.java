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
 * Coordinates one pool: feeds its scheduler, keeps suspects apart, and tells nodes what was decided.
 *
 * <p>Not thread-safe; all calls come from the thread of the coordinator. Times are microseconds of one monotonic clock.
 */
final class Pool {
    /** Bounds the time for which a node may be out of reach before what it drives is given up. */
    static final long NODE_GRACE_MICROS = 5_000_000;

    /** Time after the start of the clock, which starts with the node, for which an empty pool is one not yet read. */
    private static final long FIRST_LIST_MICROS = 2_000_000;

    /** A transfer that fails earlier than this met a lapsed prefill or a dead worker and not a stalled link. */
    private static final long STALL_MICROS = 1_000_000;

    /** Time for which a prefill worker with a stalled link gets no new work while another one can. */
    private static final long AVOID_MICROS = 5_000_000;

    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final int MAX_ENDED = 20_000;
    private static final int MAX_ROUNDS = 4;

    private final PoisonRegistry poison;
    private final Function<Service, PoolScheduler> factory;
    private final BiConsumer<PoolAttempt, Collection<BackendServer>> confirmer;
    private final Map<String, PoolAttempt> attempts = new LinkedHashMap<>();
    private final Map<String, PoolAttempt> held = new LinkedHashMap<>();
    private final Map<Long, Integer> inWork = new HashMap<>();
    private final EndedAttempts ended = new EndedAttempts(MAX_ENDED);
    private final Map<Long, Integer> tested = new HashMap<>();
    private final Map<String, Long> downSince = new HashMap<>();
    private final Map<String, Long> upSince = new HashMap<>();
    private final Map<String, Long> avoidedUntil = new HashMap<>();
    private final Map<NodeRun, Long> missingSince = new HashMap<>();
    private Service service;
    private PoolScheduler scheduler;
    private Map<String, BackendServer> servers = Map.of();
    private List<PoolWorker> workers = List.of();
    private ClusterView lastView;

    Pool(
            Service service,
            Function<Service, PoolScheduler> factory,
            PoisonRegistry poison,
            BiConsumer<PoolAttempt, Collection<BackendServer>> confirmer) {
        this.service = service;
        this.factory = factory;
        this.poison = poison;
        this.confirmer = confirmer;
        scheduler = factory.apply(service);
    }

    boolean isIdle() {
        return attempts.isEmpty();
    }

    Collection<BackendServer> getServers() {
        return servers.values();
    }

    boolean isInWork(String attempt) {
        return attempts.containsKey(attempt);
    }

    Optional<PoolAttempt> findEnded(String attempt) {
        return ended.find(attempt);
    }

    OptionalLong nextWakeMicros() {
        return scheduler.getNextWakeMicros();
    }

    /** Takes a new request, or one that was sent again because the connection or the coordinator changed. */
    void place(PlacementRequest request, NodeRun run, PlacementListener listener, long now) {
        PoolAttempt known = attempts.get(request.attempt());
        if (known == null) {
            if (request.isolated() && request.contentHash() != 0) {
                // The coordinator that saw the crash may be gone, and its suspicion with it.
                poison.crashed(Set.of(request.contentHash()), Optional.empty());
            }
            add(new PoolAttempt(request, run, listener, now));
            decide(now);
            return;
        }
        known.listener = listener;
        if (known.isStarted()) {
            listener.onGrant(known.grant);
        }
    }

    /** Takes over an attempt that another coordinator started. */
    void adopt(
            PlacementRequest request,
            NodeRun run,
            Grant grant,
            Optional<AttemptProgress> progress,
            PlacementListener listener,
            long now) {
        PoolAttempt known = attempts.get(request.attempt());
        if (known != null && known.isStarted()) {
            known.listener = listener;
            progress.ifPresent(report -> progress(report, now));
            return;
        }
        Optional<String> end = ended.findReason(request.attempt());
        if (end.isPresent()) {
            listener.onEnd(end.get());
            return;
        }
        if (known != null) {
            withdraw(request.attempt(), now);
        }
        PoolAttempt adopted = new PoolAttempt(request, run, listener, now);
        adopted.isolated = grant.isolated();
        adopted.grant = grant;
        adopted.grantedMicros = now;
        adopted.progress = progress.orElse(null);
        add(adopted);
        move(adopted, PoolAttempt.State.STARTED);
        scheduler.adopt(request, grant.toStart(), adopted.getReport(), now);
        decide(now);
    }

    /**
     * Forgets what a run no longer names. The attempts may go on: another coordinator may have them, or another node
     * may resume them.
     */
    void retain(NodeRun run, Set<String> named, long now) {
        List<String> dropped = attempts.values().stream()
                .filter(a -> a.run.equals(run) && !named.contains(a.getId()))
                .map(PoolAttempt::getId)
                .toList();
        for (String attempt : dropped) {
            PoolAttempt known = remove(attempt);
            scheduler.withdraw(attempt, now);
            if (known.isStarted()) {
                known.lost = true;
                ended.add(known, now);
            }
        }
        decide(now);
    }

    /** Gives up an attempt and returns the workers whose crash may have been the cause. */
    List<BackendServer> withdraw(String attempt, long now) {
        PoolAttempt known = remove(attempt);
        if (known == null) {
            return List.of();
        }
        if (known.isInWork()) {
            scheduler.withdraw(attempt, now);
        }
        if (known.isStarted()) {
            known.progress = new AttemptProgress(attempt, AttemptPhase.CANCELLED, 0, 0);
            ended.add(known, now);
        }
        return known.isStarted() ? listFailing(known) : List.of();
    }

    /** Takes a report and returns the worker whose crash it may show. */
    List<BackendServer> progress(AttemptProgress report, long now) {
        PoolAttempt known = attempts.get(report.attempt());
        if (known == null || !known.isStarted()) {
            return List.of();
        }
        known.progress = report;
        if (report.outputTokens() > 0 && !known.isolated) {
            uncount(known);
        }
        if (report.phase() == AttemptPhase.PREFILLED) {
            known.prefilledMicros = now;
        }
        if (report.phase() == AttemptPhase.TRANSFER_FAILED && now - known.prefilledMicros >= STALL_MICROS) {
            avoidedUntil.put(known.grant.placement().prefillWorker().id(), now + AVOID_MICROS);
            updateWorkers(now);
        }
        scheduler.updateProgress(report, now);
        List<BackendServer> suspects = List.of();
        if (report.phase().isTerminal()) {
            remove(report.attempt());
            ended.add(known, now);
            suspects = listFailing(known);
        }
        if (report.phase() == AttemptPhase.COMPLETED && known.request.contentHash() != 0) {
            poison.completed(known.request.contentHash(), known.isolated);
        }
        return suspects;
    }

    /** Keeps the contents that were on a worker from being started until {@link #endTest}. */
    Set<Long> beginTest(String worker, long now) {
        Set<Long> contents = contentsOf(listOn(worker, now));
        contents.forEach(content -> tested.merge(content, 1, Integer::sum));
        return contents;
    }

    void endTest(Set<Long> contents, long now) {
        contents.forEach(content -> tested.computeIfPresent(content, (key, count) -> count > 1 ? count - 1 : null));
        decide(now);
    }

    /** Takes the refusal of a connection by a worker; the first one after it was up counts as a crash. */
    void workerRefused(String worker, long now) {
        if (downSince.putIfAbsent(worker, now) != null) {
            return;
        }
        List<PoolAttempt> victims = listOn(worker, now);
        Optional<Long> isolated =
                findAlone(victims).map(attempt -> attempt.request.contentHash()).filter(content -> content != 0);
        Set<Long> contents = isolated.map(Set::of).orElseGet(() -> contentsOf(victims));
        if (!contents.isEmpty()) {
            poison.crashed(contents, isolated);
        }
        updateWorkers(now);
        decide(now);
    }

    void workerAnswered(String worker, EngineReport report, long ageMillis, long now) {
        if (downSince.remove(worker) != null) {
            upSince.put(worker, now);
            updateWorkers(now);
        }
        if (servers.containsKey(worker)) {
            scheduler.updateLoad(report.toLoad(worker, ageMillis), now);
        }
        decide(now);
    }

    /** Takes the answer to the question whether the workers of an isolated attempt are up. */
    void confirmed(PoolAttempt attempt, Set<String> refused, long now) {
        if (attempts.get(attempt.getId()) != attempt || attempt.state != PoolAttempt.State.CONFIRMING) {
            return;
        }
        if (refused.isEmpty()) {
            move(attempt, PoolAttempt.State.STARTED);
            attempt.grantedMicros = now;
            attempt.listener.onGrant(attempt.grant);
            return;
        }
        move(attempt, PoolAttempt.State.HELD);
        attempt.grant = null;
        scheduler.withdraw(attempt.getId(), now);
        refused.forEach(worker -> workerRefused(worker, now));
        decide(now);
    }

    /** Takes the view and the configuration in force. */
    void update(ClusterView view, Service current, long now) {
        if (!current.equals(service)) {
            rebuild(current, now);
        }
        if (view != lastView) {
            lastView = view;
            takeServers(view, now);
        }
        if (avoidedUntil.values().removeIf(until -> now >= until)) {
            updateWorkers(now);
        }
        dropLostRuns(view, now);
        refuseOverdue(now);
        ended.forgetBefore(now);
        decide(now);
    }

    private void takeServers(ClusterView view, long now) {
        Map<String, BackendServer> next = new LinkedHashMap<>();
        for (BackendServer server : view.servers()) {
            if (server.service().equals(service.name()) && server.role() != WorkerRole.PLAIN) {
                next.put(server.id(), server);
            }
        }
        servers = next;
        downSince.keySet().retainAll(next.keySet());
        upSince.keySet().retainAll(next.keySet());
        updateWorkers(now);
    }

    void decide(long now) {
        for (int round = 0; round < MAX_ROUNDS; round++) {
            releaseHeld(now);
            List<SchedulerDecision> decisions = scheduler.decide(now);
            if (decisions.isEmpty()) {
                return;
            }
            decisions.forEach(decision -> apply(decision, now));
        }
    }

    private void apply(SchedulerDecision decision, long now) {
        PoolAttempt attempt = attempts.get(decision.attempt());
        if (attempt == null) {
            scheduler.withdraw(decision.attempt(), now);
            return;
        }
        if (decision instanceof SchedulerDecision.Start start) {
            start(attempt, start, now);
        } else if (decision instanceof SchedulerDecision.Refuse refusal) {
            remove(attempt.getId());
            attempt.listener.onRefusal(refusal);
        } else {
            ended.addReason(attempt.getId(), decision.explanation());
            attempt.listener.onEnd(decision.explanation());
        }
    }

    private void start(PoolAttempt attempt, SchedulerDecision.Start start, long now) {
        BackendServer prefill = servers.get(start.prefillWorker());
        BackendServer decode = servers.get(start.decodeWorker());
        if (prefill == null || decode == null || !mayStart(attempt)) {
            scheduler.withdraw(attempt.getId(), now);
            move(attempt, PoolAttempt.State.HELD);
            return;
        }
        Placement placement = new Placement(attempt.getId(), prefill, decode, start.pieces(), start.priority());
        attempt.grant = new Grant(placement, start.explanation(), attempt.isolated);
        attempt.grantedMicros = now;
        if (attempt.isolated) {
            move(attempt, PoolAttempt.State.CONFIRMING);
            confirmer.accept(attempt, List.of(prefill, decode));
            return;
        }
        move(attempt, PoolAttempt.State.STARTED);
        attempt.listener.onGrant(attempt.grant);
    }

    /** Says whether what became known of the content since the offer still allows the start. */
    private boolean mayStart(PoolAttempt attempt) {
        long content = attempt.request.contentHash();
        if (content == 0 || attempt.isolated) {
            return true;
        }
        return !tested.containsKey(content) && poison.getStanding(content) == PoisonStatus.CLEARED;
    }

    private void releaseHeld(long now) {
        // Peers may choose a node as coordinator before it has read the VM list for the first time.
        boolean unread = servers.isEmpty() && now < FIRST_LIST_MICROS;
        if (!held.isEmpty() && !unread) {
            new ArrayList<>(held.values()).forEach(attempt -> release(attempt, now));
        }
    }

    private void release(PoolAttempt attempt, long now) {
        long content = attempt.request.contentHash();
        PoisonStatus standing = content == 0 ? PoisonStatus.CLEARED : poison.getStanding(content);
        if (standing == PoisonStatus.CONVICTED) {
            refuse(attempt, FaultKind.POISON, "the content crashed a worker that it had to itself");
            return;
        }
        // Copies wait for the first token of the first one: copies that run side by side could crash more workers than
        // the two that a conviction costs. Waiting for the whole answer would refuse urgent callers who ask the same.
        boolean alone = content != 0 && !poison.isProven(content);
        if (tested.containsKey(content) || alone && inWork.containsKey(content)) {
            return;
        }
        attempt.isolated = attempt.request.isolated() || standing == PoisonStatus.SUSPECTED;
        move(attempt, PoolAttempt.State.OFFERED);
        scheduler.offer(attempt.toOffer(now), now);
    }

    private void refuse(PoolAttempt attempt, FaultKind kind, String explanation) {
        remove(attempt.getId());
        attempt.listener.onRefusal(
                new SchedulerDecision.Refuse(attempt.getId(), kind, RETRY_AFTER_MILLIS, explanation));
    }

    private void refuseOverdue(long now) {
        for (PoolAttempt attempt : new ArrayList<>(held.values())) {
            long waited = (now - attempt.arrivedMicros) / 1000;
            if (waited > Math.min(attempt.request.maxWaitMillis(), attempt.request.ttftMillis())) {
                refuse(attempt, FaultKind.OVERLOADED, "the same content was in work or under test for too long");
            }
        }
    }

    private void rebuild(Service current, long now) {
        service = current;
        scheduler = factory.apply(current);
        workers = List.of();
        updateWorkers(now);
        for (PoolAttempt attempt : new ArrayList<>(attempts.values())) {
            if (attempt.isStarted()) {
                scheduler.adopt(attempt.request, attempt.grant.toStart(), attempt.getReport(), now);
            } else {
                move(attempt, PoolAttempt.State.HELD);
                attempt.grant = null;
            }
        }
    }

    private void updateWorkers(long now) {
        List<BackendServer> up = servers.values().stream()
                .filter(s -> !downSince.containsKey(s.id()))
                .toList();
        boolean choice = up.stream()
                .anyMatch(s -> s.role() == WorkerRole.PREFILL && !s.leaving() && !avoidedUntil.containsKey(s.id()));
        List<PoolWorker> next = up.stream()
                .map(s -> new PoolWorker(
                        s.id(), s.role(), s.zone(), s.leaving() || choice && avoidedUntil.containsKey(s.id())))
                .toList();
        if (!next.equals(workers)) {
            workers = next;
            scheduler.updateWorkers(next, now);
        }
    }

    private void dropLostRuns(ClusterView view, long now) {
        Set<NodeRun> runs = new HashSet<>();
        attempts.values().forEach(attempt -> runs.add(attempt.run));
        missingSince.keySet().retainAll(runs);
        for (NodeRun run : runs) {
            Optional<NodeRun> current = view.findNode(run.node()).map(node -> node.run());
            if (current.filter(run::equals).isPresent()) {
                missingSince.remove(run);
                continue;
            }
            long since = missingSince.computeIfAbsent(run, key -> now);
            if (current.isPresent() || now - since > NODE_GRACE_MICROS) {
                retain(run, Set.of(), now);
            }
        }
    }

    private void add(PoolAttempt attempt) {
        ended.remove(attempt.getId());
        attempts.put(attempt.getId(), attempt);
        held.put(attempt.getId(), attempt);
    }

    private PoolAttempt remove(String id) {
        PoolAttempt attempt = attempts.remove(id);
        held.remove(id);
        if (attempt != null) {
            uncount(attempt);
        }
        return attempt;
    }

    private void move(PoolAttempt attempt, PoolAttempt.State state) {
        boolean before = attempt.isInWork();
        attempt.state = state;
        if (before && !attempt.isInWork()) {
            uncount(attempt);
            held.put(attempt.getId(), attempt);
        } else if (!before && attempt.isInWork()) {
            attempt.counted = true;
            inWork.merge(attempt.request.contentHash(), 1, Integer::sum);
            held.remove(attempt.getId());
        }
    }

    /** Lets copies of the content start, as far as this attempt is concerned. */
    private void uncount(PoolAttempt attempt) {
        if (!attempt.counted) {
            return;
        }
        attempt.counted = false;
        inWork.computeIfPresent(attempt.request.contentHash(), (key, count) -> count > 1 ? count - 1 : null);
    }

    private List<PoolAttempt> listOn(String worker, long now) {
        List<PoolAttempt> result = new ArrayList<>();
        for (PoolAttempt attempt : attempts.values()) {
            if (attempt.isOn(worker) && attempt.isStarted()) {
                result.add(attempt);
            }
        }
        result.addAll(ended.listOn(worker, upSince.getOrDefault(worker, Long.MIN_VALUE), now));
        return result;
    }

    /** Finds the isolated attempt among the victims of a crash if all others had ended before it was placed. */
    private static Optional<PoolAttempt> findAlone(List<PoolAttempt> victims) {
        List<PoolAttempt> isolated = victims.stream().filter(v -> v.isolated).toList();
        if (isolated.isEmpty()) {
            return Optional.empty();
        }
        PoolAttempt last = isolated.get(0);
        for (PoolAttempt attempt : isolated) {
            last = attempt.grantedMicros > last.grantedMicros ? attempt : last;
        }
        for (PoolAttempt other : victims) {
            if (other != last && other.endedMicros > last.grantedMicros) {
                return Optional.empty();
            }
        }
        return Optional.of(last);
    }

    private static List<BackendServer> listFailing(PoolAttempt attempt) {
        Placement placement = attempt.grant.placement();
        return switch (attempt.progress.phase()) {
            case PREFILL_FAILED -> List.of(placement.prefillWorker());
            case DECODE_FAILED -> List.of(placement.decodeWorker());
            // A caller that goes away at the moment of a crash hides it.
            case TRANSFER_FAILED, CANCELLED -> List.of(placement.prefillWorker(), placement.decodeWorker());
            default -> List.of();
        };
    }

    private static Set<Long> contentsOf(List<PoolAttempt> list) {
        Set<Long> contents = new HashSet<>();
        list.forEach(attempt -> contents.add(attempt.request.contentHash()));
        contents.remove(0L);
        return contents;
    }
}
