package org.magnoliavane.node.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import org.magnoliavane.BackendServer;

/** In-memory fake of all engines. */
final class FakeEngineControl implements EngineControl {
    final Set<String> down = ConcurrentHashMap.newKeySet();
    final Set<String> cancelled = ConcurrentHashMap.newKeySet();
    final Map<String, List<ReportedAttempt>> attempts = new ConcurrentHashMap<>();

    @Override
    public CompletionStage<EngineLoadReport> fetchLoad(BackendServer worker) {
        if (down.contains(worker.id())) {
            return CompletableFuture.failedFuture(new ConnectionRefusedException("refused", null));
        }
        List<ReportedAttempt> held = attempts.getOrDefault(worker.id(), List.of());
        return CompletableFuture.completedFuture(new EngineLoadReport(System.currentTimeMillis(), 20, 20, 0, 0, held));
    }

    @Override
    public void cancel(BackendServer worker, String attempt) {
        cancelled.add(attempt);
    }
}
