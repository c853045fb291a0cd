package org.magnoliavane.systemtest.measure;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.HdrHistogram.Histogram;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.membership.RendezvousHashing;
import org.magnoliavane.systemtest.DeploymentSpec;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.LocalDeployment;

/**
 * Sends requests to a deployment, through a node or directly to a backend server.
 *
 * <p>Thread-safe.
 */
final class RequestSender {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String QUESTION = "Tide and wind for the morning lesson, with safety notes for beginners";

    private final AtomicLong questionCount = new AtomicLong();
    private final LocalDeployment deployment;
    private final DeploymentSpec spec;

    RequestSender(LocalDeployment deployment) {
        this.deployment = deployment;
        this.spec = deployment.getSpec();
    }

    LocalDeployment getDeployment() {
        return deployment;
    }

    /** Gets the node that coordinates the pool of the model service. */
    String getCoordinator() {
        return RendezvousHashing.findOwner("pool/" + spec.modelService(), deployment.getNodes(), id -> id)
                .orElseThrow();
    }

    /** Gets a node that does not coordinate the pool of the model service. */
    String getNonCoordinator() {
        return deployment.getNodes().stream()
                .filter(id -> !id.equals(getCoordinator()))
                .findFirst()
                .orElseThrow();
    }

    TimedStream sendChat(String node, int tokens, TimedStream.Times times) {
        Map<String, Object> body = Map.of(
                "model",
                spec.models().get(0),
                "stream",
                true,
                "max_tokens",
                tokens,
                "messages",
                List.of(Map.of("role", "user", "content", createQuestion())));
        HttpRequest request = withCredentials(
                        deployment.getEndpoint(node).createRequest("POST", "/v1/chat/completions"))
                .withBody("application/json", Endpoint.toJsonBytes(body))
                .withTimeoutMillis(0);
        return TimedStream.send(deployment.getClient(), request, times, System.nanoTime());
    }

    /** Sends a chat directly to engines, as a node would: a prefill, then a decode that fetches its KV cache. */
    CompletableFuture<Integer> sendChatDirectly(String prefill, String decode, int tokens, TimedStream.Times times) {
        long start = System.nanoTime();
        String attempt = UUID.randomUUID().toString().replace("-", "") + "-1";
        Endpoint source = deployment.getEndpoint(prefill);
        Map<String, Object> body = Map.of(
                "attempt",
                attempt,
                "model",
                spec.models().get(0),
                "prompt",
                "user: " + createQuestion(),
                "priority",
                5);
        HttpRequest request =
                source.createRequest("POST", "/v1/prefills").withBody("application/json", Endpoint.toJsonBytes(body));
        return deployment.getClient().send(request).thenCompose(response -> {
            if (response.status() != 200) {
                return CompletableFuture.completedFuture(-1);
            }
            String id = parseJson(response).path("prefill").asText();
            return startDecode(source, id, deployment.getEndpoint(decode), attempt, tokens, times, start)
                    .getCompletion();
        });
    }

    /**
     * Creates a new question each time, because requests with the same content run one at a time until the first has
     * been answered.
     */
    private String createQuestion() {
        return QUESTION + ", group " + questionCount.incrementAndGet();
    }

    private TimedStream startDecode(
            Endpoint source,
            String prefill,
            Endpoint target,
            String attempt,
            int tokens,
            TimedStream.Times times,
            long start) {
        Map<String, Object> body = Map.of(
                "attempt",
                attempt,
                "model",
                spec.models().get(0),
                "prefill",
                Map.of("host", "127.0.0.1", "port", source.getPort(), "id", prefill),
                "max_tokens",
                tokens,
                "priority",
                5,
                "reserve_pieces",
                1,
                "owner",
                "measure.1",
                "caller",
                "measure");
        HttpRequest request = target.createRequest("POST", "/v1/decodes")
                .withBody("application/json", Endpoint.toJsonBytes(body))
                .withTimeoutMillis(0);
        return TimedStream.send(deployment.getClient(), request, times, start);
    }

    /** Sends a request to an idempotent route of a node or of a backend server. */
    CompletableFuture<Boolean> sendLookup(String process, Histogram times) {
        return sendTimed(
                withCredentials(deployment.getEndpoint(process).createRequest("GET", spec.lookupPath())), 200, times);
    }

    /** Sends a request to a non-idempotent route of a node or of a backend server. */
    CompletableFuture<Boolean> sendBooking(String process, String runToken, Histogram times) {
        HttpRequest request = withCredentials(deployment.getEndpoint(process).createRequest("POST", spec.bookingPath()))
                .withBody("application/json", Endpoint.toJsonBytes(Map.of("slot", "10:00")))
                .withHeader("Idempotency-Key", runToken + "/" + UUID.randomUUID());
        return sendTimed(request, 201, times);
    }

    /** Gets the run token of a node from its own list of addresses. */
    String getRunToken(String node) {
        try {
            for (JsonNode address :
                    deployment.getEndpoint(node).getJson("/v1/addresses").path("addresses")) {
                if (address.path("node").asText().equals(node)) {
                    return address.path("run_token").asText();
                }
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        throw new IllegalStateException(node + " does not list its own address");
    }

    private CompletableFuture<Boolean> sendTimed(HttpRequest request, int expectedStatus, Histogram times) {
        long start = System.nanoTime();
        return deployment.getClient().send(request).handle((response, failure) -> {
            boolean complete = failure == null && response.status() == expectedStatus;
            if (complete) {
                times.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
            }
            return complete;
        });
    }

    private HttpRequest withCredentials(HttpRequest request) {
        return request.withHeader("Authorization", "Bearer " + spec.bearerKey());
    }

    private static JsonNode parseJson(HttpResponse response) {
        try {
            return MAPPER.readTree(response.body());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
