package org.magnoliavane.node.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;
import org.magnoliavane.pool.PoolScheduler;
import org.magnoliavane.pool.PoolWorker;
import org.magnoliavane.pool.SchedulerDecision;
import org.magnoliavane.pool.WorkerLoad;

/** Starts requests in order on the least used workers; an isolated request gets workers of its own. */
final class FifoScheduler implements PoolScheduler {
    private final Map<String, PlacementRequest> waiting = new LinkedHashMap<>();
    private final Map<String, SchedulerDecision.Start> started = new LinkedHashMap<>();
    private final List<String> isolated = new ArrayList<>();
    private List<PoolWorker> workers = List.of();

    @Override
    public void offer(PlacementRequest request, long nowMicros) {
        waiting.put(request.attempt(), request);
    }

    @Override
    public void updateProgress(AttemptProgress progress, long nowMicros) {
        if (progress.phase().isTerminal()) {
            withdraw(progress.attempt(), nowMicros);
        }
    }

    @Override
    public void withdraw(String attempt, long nowMicros) {
        waiting.remove(attempt);
        started.remove(attempt);
        isolated.remove(attempt);
    }

    @Override
    public void updateWorkers(List<PoolWorker> list, long nowMicros) {
        workers = list;
    }

    @Override
    public void updateLoad(WorkerLoad load, long nowMicros) {}

    @Override
    public void adopt(
            PlacementRequest request, SchedulerDecision.Start start, AttemptProgress progress, long nowMicros) {
        started.put(request.attempt(), start);
    }

    @Override
    public List<SchedulerDecision> decide(long nowMicros) {
        List<SchedulerDecision> decisions = new ArrayList<>();
        for (PlacementRequest request : List.copyOf(waiting.values())) {
            Optional<String> prefill = choose(WorkerRole.PREFILL, request.isolated());
            Optional<String> decode = choose(WorkerRole.DECODE, request.isolated());
            if (prefill.isEmpty() || decode.isEmpty()) {
                continue;
            }
            SchedulerDecision.Start start = new SchedulerDecision.Start(
                    request.attempt(), prefill.get(), decode.get(), 1, 5, "the least used workers");
            waiting.remove(request.attempt());
            started.put(request.attempt(), start);
            if (request.isolated()) {
                isolated.add(request.attempt());
            }
            decisions.add(start);
        }
        return decisions;
    }

    @Override
    public OptionalLong getNextWakeMicros() {
        return OptionalLong.empty();
    }

    private Optional<String> choose(WorkerRole role, boolean alone) {
        String best = null;
        long bestUse = Long.MAX_VALUE;
        for (PoolWorker worker : workers) {
            long use =
                    started.values().stream().filter(s -> isOn(s, worker.id())).count();
            boolean taken =
                    started.values().stream().anyMatch(s -> isOn(s, worker.id()) && isolated.contains(s.attempt()));
            boolean fits = worker.role() == role && !worker.leaving() && !taken && !(alone && use > 0);
            if (fits && use < bestUse) {
                best = worker.id();
                bestUse = use;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isOn(SchedulerDecision.Start start, String worker) {
        return start.prefillWorker().equals(worker) || start.decodeWorker().equals(worker);
    }
}
