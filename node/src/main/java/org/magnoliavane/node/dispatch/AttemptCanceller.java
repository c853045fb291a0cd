package org.magnoliavane.node.dispatch;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.magnoliavane.BackendServer;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.json.Json;
import org.magnoliavane.membership.ClusterView;

/**
 * Cancels attempts at engines and repeats each cancellation until the engine has answered it or is gone from the view.
 *
 * <p>Thread-safe.
 */
final class AttemptCanceller {
    private static final long INITIAL_RETRY_DELAY_MILLIS = 100;
    private static final long MAX_RETRY_DELAY_MILLIS = 2000;

    /**
     * Repeats after the engine has answered that it does not know the attempt. The request that creates the attempt
     * travels on another connection and can arrive after the cancellation.
     */
    private static final int MAX_UNKNOWN_ATTEMPT_RETRIES = 3;

    private final EngineClient engineClient;
    private final Supplier<ClusterView> view;
    private final ScheduledExecutorService timers;

    AttemptCanceller(EngineClient engines, Supplier<ClusterView> view, ScheduledExecutorService timers) {
        this.engineClient = engines;
        this.view = view;
        this.timers = timers;
    }

    /** Cancels an attempt whatever node owns it. */
    void cancel(BackendServer worker, String attempt) {
        cancel(worker, attempt, INITIAL_RETRY_DELAY_MILLIS, MAX_UNKNOWN_ATTEMPT_RETRIES);
    }

    /**
     * Cancels an attempt unless another node has taken it over, as happens when a caller resumes its stream elsewhere
     * before this node notices that the old connection is closed.
     */
    void cancelIfOwned(BackendServer worker, String attempt) {
        engineClient.fetchStatus(worker, attempt).whenComplete((found, cause) -> {
            boolean taken = cause == null && found.isPresent() && !engineClient.isOwnedBySelf(found.get());
            if (!taken) {
                cancel(worker, attempt);
            }
        });
    }

    private void cancel(BackendServer worker, String attempt, long pauseMillis, int repeats) {
        engineClient.cancel(worker, attempt).whenComplete((response, cause) -> {
            if (cause == null && isCancelled(response)) {
                return;
            }
            int left = cause == null ? repeats - 1 : repeats;
            if (left <= 0 || view.get().findServer(worker.id()).isEmpty()) {
                return;
            }
            long next = Math.min(MAX_RETRY_DELAY_MILLIS, pauseMillis * 2);
            timers.schedule(() -> cancel(worker, attempt, next, left), pauseMillis, TimeUnit.MILLISECONDS);
        });
    }

    private static boolean isCancelled(HttpResponse response) {
        return response.status() == 200
                && Json.tryRead(response.getText())
                        .map(body -> body.path("cancelled").asBoolean())
                        .orElse(false);
    }
}
