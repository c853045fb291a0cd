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
 * Sends the requests of the engine protocol.
 *
 * <p>Thread-safe.
 */
final class EngineClient {
    private static final long DESCRIBE_TIMEOUT_MILLIS = 1500;
    private static final long CANCEL_TIMEOUT_MILLIS = 1500;

    private final HttpClient client;
    private final NodeRun self;

    EngineClient(HttpClient client, NodeRun self) {
        this.client = client;
        this.self = self;
    }

    CompletableFuture<HttpResponse> prefill(ModelRequest call, Placement placement, long timeoutMillis) {
        ObjectNode body = Json.object()
                .put("attempt", placement.attempt())
                .put("model", call.model())
                .put("prompt", call.prompt())
                .put("priority", placement.priority());
        HttpRequest request = request(placement.prefillWorker(), "POST", "/v1/prefills")
                .withBody("application/json", Json.write(body))
                .withTimeoutMillis(timeoutMillis);
        return client.send(request);
    }

    HttpExchange decode(ModelRequest call, Placement placement, String prefill, ResponseListener listener) {
        BackendServer source = placement.prefillWorker();
        ObjectNode body = Json.object().put("attempt", placement.attempt()).put("model", call.model());
        body.putObject("prefill")
                .put("host", source.host())
                .put("port", source.port())
                .put("id", prefill);
        body.put("max_tokens", call.maxOutputTokens())
                .put("priority", placement.priority())
                .put("reserve_pieces", placement.pieces())
                .put("owner", self.toString())
                .put("caller", EngineAttempt.toCallerText(call));
        HttpRequest request =
                request(placement.decodeWorker(), "POST", "/v1/decodes").withBody("application/json", Json.write(body));
        return client.stream(request, listener);
    }

    HttpExchange resume(BackendServer worker, String attempt, int from, ResponseListener listener) {
        String path = "/v1/decodes/" + attempt + "/events?from=" + from + "&owner=" + self;
        return client.stream(request(worker, "GET", path), listener);
    }

    /** Describes an attempt; empty when the engine does not know it. */
    CompletableFuture<Optional<EngineAttempt>> describe(BackendServer worker, String attempt) {
        HttpRequest request =
                request(worker, "GET", "/v1/decodes/" + attempt).withTimeoutMillis(DESCRIBE_TIMEOUT_MILLIS);
        return client.send(request).thenCompose(EngineClient::toDescription);
    }

    CompletableFuture<HttpResponse> cancel(BackendServer worker, String attempt) {
        HttpRequest request =
                request(worker, "DELETE", "/v1/attempts/" + attempt).withTimeoutMillis(CANCEL_TIMEOUT_MILLIS);
        return client.send(request);
    }

    boolean isSelf(EngineAttempt attempt) {
        return attempt.owner().equals(self.toString());
    }

    private static HttpRequest request(BackendServer worker, String method, String path) {
        return HttpRequest.of(method, worker.host(), worker.port(), path);
    }

    private static CompletableFuture<Optional<EngineAttempt>> toDescription(HttpResponse response) {
        if (response.status() == 404) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Optional<JsonNode> body = Json.tryRead(response.getText());
        if (response.status() != 200 || body.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new IOException("engine answered " + response.status() + " to the question for an attempt"));
        }
        JsonNode json = body.get();
        return CompletableFuture.completedFuture(Optional.of(new EngineAttempt(
                json.path("owner").asText(),
                json.path("caller").asText(),
                json.path("position").asInt())));
    }
}
