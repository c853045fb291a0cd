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
final class LoadReportScheduler implements PoolScheduler {

    /** Picks one of the workers of a role. */
    interface WorkerSelection {
        /**
         * Picks a worker.
         *
         * @param request the request
         * @param workers the workers, never empty
         * @return the pick
         */
        WorkerEstimate select(PlacementRequest request, List<WorkerEstimate> workers);
    }

    /**
     * Limits what a scheduler sends.
     *
     * @param maxQueueMillis the longest estimated queue of a prefill worker
     * @param maxTtftShare the largest share of the time to the first token that queue, prefill and transfer may take
     * @param headroomPieces the pieces of a decode worker that are left free for what other nodes start
     */
    record AdmissionLimits(long maxQueueMillis, double maxTtftShare, int headroomPieces) {}

    /** Holds what is known of a worker. */
    static final class WorkerEstimate {
        final String id;
        final WorkerRole role;
        private final Map<String, StartedAttempt> started = new LinkedHashMap<>();
        private long reportedMicros = -1;
        private long reportedTokens;
        private int reportedFreePieces;

        WorkerEstimate(PoolWorker worker, ModelSettings settings) {
            id = worker.id();
            role = worker.role();
            reportedFreePieces = settings.decodePieces();
        }

        /** Estimates the tokens that wait for prefill. */
        long estimateQueuedTokens() {
            return reportedTokens
                    + started.values().stream()
                            .filter(each -> each.startMicros > reportedMicros)
                            .mapToLong(each -> each.tokens)
                            .sum();
        }

        /** Estimates the free pieces of decode memory. */
        int estimateFreePieces() {
            return reportedFreePieces
                    - started.values().stream()
                            .filter(each -> !each.reported)
                            .mapToInt(each -> each.pieces)
                            .sum();
        }
    }

    private static final class StartedAttempt {
        private final long startMicros;
        private final long tokens;
        private final int pieces;
        private boolean reported;

        private StartedAttempt(long atMicros, long tokens, int pieces) {
            this.startMicros = atMicros;
            this.tokens = tokens;
            this.pieces = pieces;
        }
    }

    private final ModelSettings settings;
    private final WorkerSelection prefillSelection;
    private final WorkerSelection decodeSelection;
    private final AdmissionLimits limits;
    private final Map<String, WorkerEstimate> workers = new LinkedHashMap<>();
    private final Map<String, List<WorkerEstimate>> workersByAttempt = new HashMap<>();
    private final List<SchedulerDecision> decisions = new ArrayList<>();

    LoadReportScheduler(
            ModelSettings settings,
            WorkerSelection prefillPicker,
            WorkerSelection decodePicker,
            AdmissionLimits limits) {
        this.settings = settings;
        this.prefillSelection = prefillPicker;
        this.decodeSelection = decodePicker;
        this.limits = limits;
    }

    @Override
    public void offer(PlacementRequest request, long nowMicros) {
        List<WorkerEstimate> sources = getWorkers(WorkerRole.PREFILL);
        List<WorkerEstimate> targets = getWorkers(WorkerRole.DECODE);
        if (sources.isEmpty() || targets.isEmpty()) {
            refuse(request, FaultKind.UNAVAILABLE, "no worker of a role");
            return;
        }
        WorkerEstimate source = prefillSelection.select(request, sources);
        WorkerEstimate target = decodeSelection.select(request, targets);
        long queue = source.estimateQueuedTokens() * 1000 / settings.prefillTokensPerSecond();
        long work = EngineTimes.getPrefillMicros(settings, request.promptTokens())
                + EngineTimes.getTransferMicros(settings, request.promptTokens());
        int pieces = EngineTimes.countPieces(settings, request.promptTokens() + request.expectedOutputTokens());
        boolean late = queue + work / 1000 > limits.maxTtftShare * request.ttftMillis();
        boolean bound = queue > request.maxWaitMillis();
        if (late || bound || queue > limits.maxQueueMillis) {
            refuse(request, FaultKind.OVERLOADED, "queue of " + queue + " ms");
        } else if (target.estimateFreePieces() - limits.headroomPieces < pieces) {
            refuse(request, FaultKind.OVERLOADED, "no decode memory");
        } else {
            StartedAttempt sent = new StartedAttempt(nowMicros, request.promptTokens(), pieces);
            source.started.put(request.attempt(), sent);
            target.started.put(request.attempt(), sent);
            workersByAttempt.put(request.attempt(), List.of(source, target));
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
        List<WorkerEstimate> pair = workersByAttempt.remove(attempt);
        if (pair != null) {
            pair.forEach(each -> each.started.remove(attempt));
        }
    }

    @Override
    public void updateWorkers(List<PoolWorker> list, long nowMicros) {
        workers.keySet()
                .removeIf(id -> list.stream().noneMatch(each -> each.id().equals(id)));
        list.forEach(each -> workers.computeIfAbsent(each.id(), id -> new WorkerEstimate(each, settings)));
    }

    @Override
    public void updateLoad(WorkerLoad load, long nowMicros) {
        WorkerEstimate worker = workers.get(load.worker());
        if (worker == null) {
            return;
        }
        worker.reportedMicros = nowMicros - load.ageMillis() * 1000;
        worker.reportedTokens = load.queuedTokens();
        worker.reportedFreePieces = load.freePieces();
        worker.started.forEach(
                (attempt, sent) -> sent.reported |= load.attempts().contains(attempt));
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

    private List<WorkerEstimate> getWorkers(WorkerRole role) {
        return workers.values().stream().filter(each -> each.role == role).toList();
    }
}
