package org.magnoliavane.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.magnoliavane.FaultKind;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;
import org.magnoliavane.pool.PoolScheduler;
import org.magnoliavane.pool.PoolWorker;
import org.magnoliavane.pool.SchedulerDecision;
import org.magnoliavane.pool.WorkerLoad;

/**
 * Decides each request at once on lagged load reports and on what this scheduler itself started since. The baselines
 * differ in how they pick workers. Not thread-safe.
 */
final class ReportScheduler implements PoolScheduler {

    /** Picks one of the workers of a role. */
    interface Picker {
        /**
         * Picks a worker.
         *
         * @param request the request
         * @param workers the workers, never empty
         * @return the pick
         */
        Worker pick(PlacementRequest request, List<Worker> workers);
    }

    /**
     * Limits what a scheduler sends.
     *
     * @param queueMillis the longest estimated queue of a prefill worker
     * @param dueShare the largest share of the time to the first token that queue, prefill and transfer may take
     * @param sparePieces the pieces of a decode worker that are left free for what other nodes start
     */
    record Limits(long queueMillis, double dueShare, int sparePieces) {}

    /** Holds what is known of a worker. */
    static final class Worker {
        final String id;
        final WorkerRole role;
        private final Map<String, Sent> sent = new LinkedHashMap<>();
        private long reportedMicros = -1;
        private long reportedTokens;
        private int reportedFree;

        Worker(PoolWorker worker, ModelSettings settings) {
            id = worker.id();
            role = worker.role();
            reportedFree = settings.decodePieces();
        }

        /** Estimates the tokens that wait for prefill. */
        long queuedTokens() {
            return reportedTokens
                    + sent.values().stream()
                            .filter(each -> each.atMicros > reportedMicros)
                            .mapToLong(each -> each.tokens)
                            .sum();
        }

        /** Estimates the free pieces of decode memory. */
        int freePieces() {
            return reportedFree
                    - sent.values().stream()
                            .filter(each -> !each.seen)
                            .mapToInt(each -> each.pieces)
                            .sum();
        }
    }

    private static final class Sent {
        private final long atMicros;
        private final long tokens;
        private final int pieces;
        private boolean seen;

        private Sent(long atMicros, long tokens, int pieces) {
            this.atMicros = atMicros;
            this.tokens = tokens;
            this.pieces = pieces;
        }
    }

    private final ModelSettings settings;
    private final Picker prefillPicker;
    private final Picker decodePicker;
    private final Limits limits;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<String, List<Worker>> placed = new HashMap<>();
    private final List<SchedulerDecision> decisions = new ArrayList<>();

    ReportScheduler(ModelSettings settings, Picker prefillPicker, Picker decodePicker, Limits limits) {
        this.settings = settings;
        this.prefillPicker = prefillPicker;
        this.decodePicker = decodePicker;
        this.limits = limits;
    }

    @Override
    public void offer(PlacementRequest request, long nowMicros) {
        List<Worker> sources = ofRole(WorkerRole.PREFILL);
        List<Worker> targets = ofRole(WorkerRole.DECODE);
        if (sources.isEmpty() || targets.isEmpty()) {
            refuse(request, FaultKind.UNAVAILABLE, "no worker of a role");
            return;
        }
        Worker source = prefillPicker.pick(request, sources);
        Worker target = decodePicker.pick(request, targets);
        long queue = source.queuedTokens() * 1000 / settings.prefillTokensPerSecond();
        long work = EngineTimes.prefill(settings, request.promptTokens())
                + EngineTimes.transfer(settings, request.promptTokens());
        int pieces = EngineTimes.pieces(settings, request.promptTokens() + request.expectedOutputTokens());
        boolean late = queue + work / 1000 > limits.dueShare * request.ttftMillis();
        boolean bound = queue > request.maxWaitMillis();
        if (late || bound || queue > limits.queueMillis) {
            refuse(request, FaultKind.OVERLOADED, "queue of " + queue + " ms");
        } else if (target.freePieces() - limits.sparePieces < pieces) {
            refuse(request, FaultKind.OVERLOADED, "no decode memory");
        } else {
            Sent sent = new Sent(nowMicros, request.promptTokens(), pieces);
            source.sent.put(request.attempt(), sent);
            target.sent.put(request.attempt(), sent);
            placed.put(request.attempt(), List.of(source, target));
            decisions.add(new SchedulerDecision.Start(request.attempt(), source.id, target.id, pieces, 5, "picked"));
        }
    }

    @Override
    public void updateProgress(AttemptProgress progress, long nowMicros) {
        if (progress.phase().isTerminal()) {
            withdraw(progress.attempt(), nowMicros);
        }
    }

    @Override
    public void withdraw(String attempt, long nowMicros) {
        List<Worker> pair = placed.remove(attempt);
        if (pair != null) {
            pair.forEach(each -> each.sent.remove(attempt));
        }
    }

    @Override
    public void updateWorkers(List<PoolWorker> list, long nowMicros) {
        workers.keySet()
                .removeIf(id -> list.stream().noneMatch(each -> each.id().equals(id)));
        list.forEach(each -> workers.computeIfAbsent(each.id(), id -> new Worker(each, settings)));
    }

    @Override
    public void updateLoad(WorkerLoad load, long nowMicros) {
        Worker worker = workers.get(load.worker());
        if (worker == null) {
            return;
        }
        worker.reportedMicros = nowMicros - load.ageMillis() * 1000;
        worker.reportedTokens = load.queuedTokens();
        worker.reportedFree = load.freePieces();
        worker.sent.forEach((attempt, sent) -> sent.seen |= load.attempts().contains(attempt));
    }

    @Override
    public void adopt(
            PlacementRequest request, SchedulerDecision.Start start, AttemptProgress progress, long nowMicros) {
        // Reports already contain what other schedulers started.
    }

    @Override
    public List<SchedulerDecision> decide(long nowMicros) {
        List<SchedulerDecision> result = List.copyOf(decisions);
        decisions.clear();
        return result;
    }

    @Override
    public OptionalLong getNextWakeMicros() {
        return OptionalLong.empty();
    }

    private void refuse(PlacementRequest request, FaultKind kind, String reason) {
        decisions.add(new SchedulerDecision.Refuse(request.attempt(), kind, 1_000, reason));
    }

    private List<Worker> ofRole(WorkerRole role) {
        return workers.values().stream().filter(each -> each.role == role).toList();
    }
}
