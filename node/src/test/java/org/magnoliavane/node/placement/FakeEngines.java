package org.magnoliavane.node.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import org.magnoliavane.BackendServer;

/** Answers for all engines in memory. */
final class FakeEngines implements Engines {
    final Set<String> down = ConcurrentHashMap.newKeySet();
    final Set<String> cancelled = ConcurrentHashMap.newKeySet();
    final Map<String, List<EngineAttempt>> attempts = new ConcurrentHashMap<>();

    @Override
    public CompletionStage<EngineReport> load(BackendServer worker) {
        if (down.contains(worker.id())) {
            return CompletableFuture.failedFuture(new RefusedException("refused", null));
        }
        List<EngineAttempt> held = attempts.getOrDefault(worker.id(), List.of());
        return CompletableFuture.completedFuture(new EngineReport(System.currentTimeMillis(), 20, 20, 0, 0, held));
    }

    @Override
    public void cancel(BackendServer worker, String attempt) {
        cancelled.add(attempt);
    }
}
