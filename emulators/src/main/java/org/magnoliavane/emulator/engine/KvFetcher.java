package org.magnoliavane.emulator.engine;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.magnoliavane.emulator.engine.EngineRequests.KvCache;
import org.magnoliavane.emulator.engine.EngineRequests.PrefillReference;
import org.magnoliavane.emulator.http.Json;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;

/**
 * Fetches KV caches from the engines of prefill workers.
 *
 * <p>Thread-safe.
 */
final class KvFetcher {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final HttpClient http;

    KvFetcher(HttpClient http) {
        this.http = http;
    }

    /**
     * Starts to fetch a KV cache.
     *
     * @param from the prefill to fetch from
     * @param arrivalListener receives the KV cache
     * @param failureListener receives the kind and the message of a failure
     * @return an action that aborts the transfer
     */
    Runnable fetch(
            PrefillReference from, Consumer<KvCache> arrivalListener, BiConsumer<String, String> failureListener) {
        HttpRequest request = HttpRequest.of("GET", from.host(), from.port(), "/v1/prefills/" + from.id() + "/kv");
        CompletableFuture<HttpResponse> response = http.send(request);
        response.whenComplete((result, cause) -> {
            if (cause != null) {
                failureListener.accept("transfer_failed", String.valueOf(cause.getMessage()));
            } else {
                handleResponse(result, arrivalListener, failureListener);
            }
        });
        return () -> response.cancel(true);
    }

    private static void handleResponse(
            HttpResponse response, Consumer<KvCache> arrivalListener, BiConsumer<String, String> failureListener) {
        if (response.status() == NOT_FOUND) {
            failureListener.accept("prefill_lapsed", "the prefill worker has no such result");
            return;
        }
        if (response.status() != OK) {
            failureListener.accept("transfer_failed", "the prefill worker responded with status " + response.status());
            return;
        }
        try {
            arrivalListener.accept(Json.parse(response.body(), KvCache.class));
        } catch (IOException e) {
            failureListener.accept("transfer_failed", "the KV cache is malformed: " + e.getMessage());
        }
    }
}
