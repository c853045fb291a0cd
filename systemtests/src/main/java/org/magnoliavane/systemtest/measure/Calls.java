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
import org.magnoliavane.systemtest.DeploymentSize;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.LocalDeployment;

/**
 * Makes calls to a deployment, through a node or directly to a backend server.
 *
 * <p>Thread-safe.
 */
final class Calls {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String QUESTION = "Tide and wind for the morning lesson, with safety notes for beginners";

    private final AtomicLong asked = new AtomicLong();
    private final LocalDeployment deployment;
    private final DeploymentSize size;

    Calls(LocalDeployment deployment) {
        this.deployment = deployment;
        this.size = deployment.getSize();
    }

    LocalDeployment deployment() {
        return deployment;
    }

    /** Gets the node that coordinates the pool of the model service. */
    String getCoordinator() {
        return RendezvousHashing.findOwner("pool/" + size.modelService(), deployment.getNodes(), id -> id)
                .orElseThrow();
    }

    /** Gets a node that does not coordinate the pool of the model service. */
    String getOtherNode() {
        return deployment.getNodes().stream()
                .filter(id -> !id.equals(getCoordinator()))
                .findFirst()
                .orElseThrow();
    }

    TimedStream chat(String node, int tokens, TimedStream.Times times) {
        Map<String, Object> body = Map.of(
                "model",
                size.models().get(0),
                "stream",
                true,
                "max_tokens",
                tokens,
                "messages",
                List.of(Map.of("role", "user", "content", ask())));
        HttpRequest request = withKey(deployment.getEndpoint(node).request("POST", "/v1/chat/completions"))
                .withBody("application/json", Endpoint.toBytes(body))
                .withTimeoutMillis(0);
        return TimedStream.send(deployment.getClient(), request, times, System.nanoTime());
    }

    /** Does without a node what a node does for a chat: a prefill, then a decode that fetches its result. */
    CompletableFuture<Integer> chatDirectly(String prefill, String decode, int tokens, TimedStream.Times times) {
        long start = System.nanoTime();
        String attempt = UUID.randomUUID().toString().replace("-", "") + "-1";
        Endpoint source = deployment.getEndpoint(prefill);
        Map<String, Object> body =
                Map.of("attempt", attempt, "model", size.models().get(0), "prompt", "user: " + ask(), "priority", 5);
        HttpRequest request =
                source.request("POST", "/v1/prefills").withBody("application/json", Endpoint.toBytes(body));
        return deployment.getClient().send(request).thenCompose(answer -> {
            if (answer.status() != 200) {
                return CompletableFuture.completedFuture(-1);
            }
            String id = parse(answer).path("prefill").asText();
            return decode(source, id, deployment.getEndpoint(decode), attempt, tokens, times, start)
                    .getTokens();
        });
    }

    /** Asks something new each time, because content that has not yet been answered once runs one request at a time. */
    private String ask() {
        return QUESTION + ", group " + asked.incrementAndGet();
    }

    private TimedStream decode(
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
                size.models().get(0),
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
        HttpRequest request = target.request("POST", "/v1/decodes")
                .withBody("application/json", Endpoint.toBytes(body))
                .withTimeoutMillis(0);
        return TimedStream.send(deployment.getClient(), request, times, start);
    }

    /** Calls an idempotent route of a node or of a backend server. */
    CompletableFuture<Boolean> lookUp(String process, Histogram times) {
        return timed(withKey(deployment.getEndpoint(process).request("GET", size.lookupPath())), 200, times);
    }

    /** Calls a non-idempotent route of a node or of a backend server. */
    CompletableFuture<Boolean> book(String process, String runToken, Histogram times) {
        HttpRequest request = withKey(deployment.getEndpoint(process).request("POST", size.bookingPath()))
                .withBody("application/json", Endpoint.toBytes(Map.of("slot", "10:00")))
                .withHeader("Idempotency-Key", runToken + "/" + UUID.randomUUID());
        return timed(request, 201, times);
    }

    /** Gets the run token that a node gives for itself. */
    String getRunToken(String node) {
        try {
            for (JsonNode each :
                    deployment.getEndpoint(node).get("/v1/addresses").path("addresses")) {
                if (each.path("node").asText().equals(node)) {
                    return each.path("run_token").asText();
                }
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        throw new IllegalStateException(node + " gives no address for itself");
    }

    private CompletableFuture<Boolean> timed(HttpRequest request, int expected, Histogram times) {
        long start = System.nanoTime();
        return deployment.getClient().send(request).handle((answer, failure) -> {
            boolean good = failure == null && answer.status() == expected;
            if (good) {
                times.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
            }
            return good;
        });
    }

    private HttpRequest withKey(HttpRequest request) {
        return request.withHeader("Authorization", "Bearer " + size.bearerKey());
    }

    private static JsonNode parse(HttpResponse answer) {
        try {
            return MAPPER.readTree(answer.body());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
