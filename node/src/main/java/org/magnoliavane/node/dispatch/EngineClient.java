package org.magnoliavane.node.dispatch;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.BackendServer;
import org.magnoliavane.NodeRun;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpExchange;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.http.ResponseListener;
import org.magnoliavane.json.Json;
import org.magnoliavane.node.placement.Placement;

/**
 * Sends the requests of the HTTP protocol of the engines.
 *
 * <p>Thread-safe.
 */
final class EngineClient {
    private static final long STATUS_TIMEOUT_MILLIS = 1500;
    private static final long CANCEL_TIMEOUT_MILLIS = 1500;

    private final HttpClient httpClient;
    private final NodeRun self;

    EngineClient(HttpClient httpClient, NodeRun self) {
        this.httpClient = httpClient;
        this.self = self;
    }

    /** Requests a prefill; the response arrives when the prefill is complete. */
    CompletableFuture<HttpResponse> startPrefill(ModelRequest modelRequest, Placement placement, long timeoutMillis) {
        ObjectNode body = Json.object()
                .put("attempt", placement.attempt())
                .put("model", modelRequest.model())
                .put("prompt", modelRequest.prompt())
                .put("priority", placement.priority());
        HttpRequest request = createRequest(placement.prefillWorker(), "POST", "/v1/prefills")
                .withBody("application/json", Json.write(body))
                .withTimeoutMillis(timeoutMillis);
        return httpClient.send(request);
    }

    /**
     * Requests a decode and streams its events.
     *
     * @param prefillId the id of the prefill at the prefill worker
     */
    HttpExchange startDecode(
            ModelRequest modelRequest, Placement placement, String prefillId, ResponseListener listener) {
        BackendServer source = placement.prefillWorker();
        ObjectNode body = Json.object().put("attempt", placement.attempt()).put("model", modelRequest.model());
        body.putObject("prefill")
                .put("host", source.host())
                .put("port", source.port())
                .put("id", prefillId);
        body.put("max_tokens", modelRequest.maxOutputTokens())
                .put("priority", placement.priority())
                .put("reserve_pieces", placement.pieces())
                .put("owner", self.toString())
                .put("caller", DecodeAttemptStatus.toCallerText(modelRequest));
        HttpRequest request = createRequest(placement.decodeWorker(), "POST", "/v1/decodes")
                .withBody("application/json", Json.write(body));
        return httpClient.stream(request, listener);
    }

    /** Streams the events of an existing decode attempt after a position, and becomes its owner. */
    HttpExchange resume(BackendServer worker, String attempt, int from, ResponseListener listener) {
        String path = "/v1/decodes/" + attempt + "/events?from=" + from + "&owner=" + self;
        return httpClient.stream(createRequest(worker, "GET", path), listener);
    }

    /** Fetches the status of a decode attempt; empty when the engine does not know it. */
    CompletableFuture<Optional<DecodeAttemptStatus>> fetchStatus(BackendServer worker, String attempt) {
        HttpRequest request =
                createRequest(worker, "GET", "/v1/decodes/" + attempt).withTimeoutMillis(STATUS_TIMEOUT_MILLIS);
        return httpClient.send(request).thenCompose(response -> parseStatus(response, attempt));
    }

    /** Cancels an attempt. */
    CompletableFuture<HttpResponse> cancel(BackendServer worker, String attempt) {
        HttpRequest request =
                createRequest(worker, "DELETE", "/v1/attempts/" + attempt).withTimeoutMillis(CANCEL_TIMEOUT_MILLIS);
        return httpClient.send(request);
    }

    /** Returns whether this node run owns an attempt. */
    boolean isOwnedBySelf(DecodeAttemptStatus attempt) {
        return attempt.owner().equals(self.toString());
    }

    private static HttpRequest createRequest(BackendServer worker, String method, String path) {
        return HttpRequest.of(method, worker.host(), worker.port(), path);
    }

    /** Only a status that names the attempt counts, so that the response to another request says nothing about it. */
    private static CompletableFuture<Optional<DecodeAttemptStatus>> parseStatus(HttpResponse response, String attempt) {
        if (response.status() == 404) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        JsonNode json = Json.tryRead(response.getText()).orElse(Json.object());
        boolean valid = response.status() == 200
                && json.path("attempt").asText().equals(attempt)
                && NodeRun.parse(json.path("owner").asText()).isPresent()
                && json.path("caller").isTextual()
                && json.path("position").isInt();
        if (!valid) {
            return CompletableFuture.failedFuture(new IOException("the engine responded with status "
                    + response.status() + " to a request for the status of an attempt, without its status"));
        }
        return CompletableFuture.completedFuture(Optional.of(new DecodeAttemptStatus(
                json.path("owner").asText(),
                json.path("caller").asText(),
                json.path("position").asInt())));
    }
}
