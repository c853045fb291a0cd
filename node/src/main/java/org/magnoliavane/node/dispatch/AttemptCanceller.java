package org.magnoliavane.node.dispatch;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.magnoliavane.BackendServer;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.json.Json;
import org.magnoliavane.membership.ClusterView;

/**
 * Cancels attempts at engines. A cancellation is retried until the engine confirms it, has responded several times
 * without a confirmation, or is no longer in the cluster view.
 *
 * <p>Thread-safe.
 */
final class AttemptCanceller {
    private static final long INITIAL_RETRY_DELAY_MILLIS = 100;
    private static final long MAX_RETRY_DELAY_MILLIS = 2000;

    /**
     * Number of responses without a confirmation after which a cancellation ends, for example because the engine does
     * not know the attempt. The request that creates the attempt uses another connection and can arrive after the
     * cancellation.
     */
    private static final int MAX_UNKNOWN_ATTEMPT_RESPONSES = 3;

    private final EngineClient engineClient;
    private final Supplier<ClusterView> view;
    private final ScheduledExecutorService timers;

    AttemptCanceller(EngineClient engineClient, Supplier<ClusterView> view, ScheduledExecutorService timers) {
        this.engineClient = engineClient;
        this.view = view;
        this.timers = timers;
    }

    /** Cancels an attempt regardless of which node owns it. */
    void cancel(BackendServer worker, String attempt) {
        cancel(worker, attempt, INITIAL_RETRY_DELAY_MILLIS, MAX_UNKNOWN_ATTEMPT_RESPONSES);
    }

    /**
     * Cancels an attempt unless another node owns it. That happens when a caller resumes its stream at another node
     * before this node detects that the old connection is closed.
     */
    void cancelIfOwned(BackendServer worker, String attempt) {
        engineClient.fetchStatus(worker, attempt).whenComplete((status, cause) -> {
            boolean ownedByOther = cause == null && status.isPresent() && !engineClient.isOwnedBySelf(status.get());
            if (!ownedByOther) {
                cancel(worker, attempt);
            }
        });
    }

    private void cancel(BackendServer worker, String attempt, long delayMillis, int responsesLeft) {
        engineClient.cancel(worker, attempt).whenComplete((response, cause) -> {
            if (cause == null && isCancelled(response)) {
                return;
            }
            int remaining = cause == null ? responsesLeft - 1 : responsesLeft;
            if (remaining <= 0 || view.get().findServer(worker.id()).isEmpty()) {
                return;
            }
            long nextDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, delayMillis * 2);
            timers.schedule(
                    () -> cancel(worker, attempt, nextDelayMillis, remaining), delayMillis, TimeUnit.MILLISECONDS);
        });
    }

    private static boolean isCancelled(HttpResponse response) {
        return response.status() == 200
                && Json.tryRead(response.getText())
                        .map(body -> body.path("cancelled").asBoolean())
                        .orElse(false);
    }
}
