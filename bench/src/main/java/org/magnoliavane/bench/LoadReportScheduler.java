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
 * Decides each request immediately, by delayed load reports and by the attempts that this scheduler has started since.
 * The baseline policies use this scheduler with different rules for the selection of workers. Not thread-safe.
 */
final class LoadReportScheduler implements PoolScheduler {

    /** Selects one of the workers of a role. */
    interface WorkerSelection {
        /**
         * Selects a worker.
         *
         * @param request the request
         * @param workers the workers, never empty
         * @return the selected worker
         */
        WorkerEstimate select(PlacementRequest request, List<WorkerEstimate> workers);
    }

    /**
     * Holds the limits beyond which a request is refused.
     *
     * @param maxQueueMillis the longest estimated queue of a prefill worker, in milliseconds
     * @param maxTtftShare the largest share of the target for the first token that queue, prefill and transfer may take
     * @param headroomPieces the pieces of a decode worker that are kept free for attempts of other nodes
     */
    record AdmissionLimits(long maxQueueMillis, double maxTtftShare, int headroomPieces) {}

    /** Estimates the load of a worker from its last report and the attempts started since. */
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

        /** Estimates the free pieces, less those of started attempts that no load report contains yet. */
        int estimateFreePieces() {
            return reportedFreePieces
                    - started.values().stream()
                            .filter(each -> !each.reported)
                            .mapToInt(each -> each.pieces)
                            .sum();
        }
    }

    /** Holds the size of an attempt that this scheduler started, and whether a load report contains it. */
    private static final class StartedAttempt {
        private final long startMicros;
        private final long tokens;
        private final int pieces;
        private boolean reported;

        private StartedAttempt(long startMicros, long tokens, int pieces) {
            this.startMicros = startMicros;
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
            WorkerSelection prefillSelection,
            WorkerSelection decodeSelection,
            AdmissionLimits limits) {
        this.settings = settings;
        this.prefillSelection = prefillSelection;
        this.decodeSelection = decodeSelection;
        this.limits = limits;
    }

    @Override
    public void offer(PlacementRequest request, long nowMicros) {
        List<WorkerEstimate> prefillWorkers = getWorkers(WorkerRole.PREFILL);
        List<WorkerEstimate> decodeWorkers = getWorkers(WorkerRole.DECODE);
        if (prefillWorkers.isEmpty() || decodeWorkers.isEmpty()) {
            refuse(request, FaultKind.UNAVAILABLE, "no prefill worker or no decode worker is listed");
            return;
        }
        WorkerEstimate prefillWorker = prefillSelection.select(request, prefillWorkers);
        WorkerEstimate decodeWorker = decodeSelection.select(request, decodeWorkers);
        long queueMillis = prefillWorker.estimateQueuedTokens() * 1000 / settings.prefillTokensPerSecond();
        long workMicros = EngineTimes.getPrefillMicros(settings, request.promptTokens())
                + EngineTimes.getTransferMicros(settings, request.promptTokens());
        int pieces = EngineTimes.countPieces(settings, request.promptTokens() + request.expectedOutputTokens());
        boolean missesTtft = queueMillis + workMicros / 1000 > limits.maxTtftShare * request.ttftMillis();
        boolean exceedsMaxWait = queueMillis > request.maxWaitMillis();
        if (missesTtft || exceedsMaxWait || queueMillis > limits.maxQueueMillis) {
            refuse(request, FaultKind.OVERLOADED, "estimated prefill queue of " + queueMillis + " ms");
        } else if (decodeWorker.estimateFreePieces() - limits.headroomPieces < pieces) {
            refuse(request, FaultKind.OVERLOADED, "not enough free decode memory");
        } else {
            StartedAttempt attempt = new StartedAttempt(nowMicros, request.promptTokens(), pieces);
            prefillWorker.started.put(request.attempt(), attempt);
            decodeWorker.started.put(request.attempt(), attempt);
            workersByAttempt.put(request.attempt(), List.of(prefillWorker, decodeWorker));
            decisions.add(new SchedulerDecision.Start(
                    request.attempt(), prefillWorker.id, decodeWorker.id, pieces, 5, "picked"));
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
        List<WorkerEstimate> placed = workersByAttempt.remove(attempt);
        if (placed != null) {
            placed.forEach(each -> each.started.remove(attempt));
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
                (id, attempt) -> attempt.reported |= load.attempts().contains(id));
    }

    @Override
    public void adopt(
            PlacementRequest request, SchedulerDecision.Start start, AttemptProgress progress, long nowMicros) {
        // Load reports already contain the attempts that other schedulers started.
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
