package org.magnoliavane.systemtest.streams;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.membership.RendezvousHashing;
import org.magnoliavane.systemtest.ChatStream;
import org.magnoliavane.systemtest.DeploymentSpec;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;
import org.magnoliavane.systemtest.ManagedProcess;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Provides a small deployment and the operations that the tests of streams share. */
final class StreamsDeployment implements AutoCloseable {
    static final long ANSWER_TIMEOUT_MILLIS = 20_000;
    static final String MODEL = "tide-briefing";

    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final long EXIT_TIMEOUT_MILLIS = 2_000;

    private static StreamsDeployment shared;

    private final LocalDeployment deployment;

    private StreamsDeployment(LocalDeployment deployment) {
        this.deployment = deployment;
    }

    static StreamsDeployment start(int nodes, int prefillWorkers, int decodeWorkers) throws IOException {
        DeploymentSpec spec = DeploymentSpec.wellenbund().withProcesses(nodes, prefillWorkers, decodeWorkers, 1);
        Path directory = Files.createTempDirectory(Path.of("target"), "streams");
        return new StreamsDeployment(LocalDeployment.start(spec, Launcher.of(Path.of(".."), directory)));
    }

    /**
     * Gets the deployment shared by the test classes that keep the numbers of nodes and workers, started by the first
     * call. Sharing saves the time of several starts.
     */
    static synchronized StreamsDeployment getShared() throws IOException {
        if (shared == null) {
            shared = start(3, 2, 3);
        }
        return shared;
    }

    static synchronized void closeShared() {
        if (shared != null) {
            shared.close();
            shared = null;
        }
    }

    LocalDeployment getDeployment() {
        return deployment;
    }

    /** Publishes the example configuration with one line replaced, and waits until it is in force at every node. */
    void publish(String line, String replacement, long version) throws IOException {
        Path file = Files.createTempFile(Path.of("target"), "streams", ".toml");
        String text = Files.readString(deployment.getSpec().getConfigurationFile());
        assertTrue(text.contains(line), "the example has no line '" + line + "'");
        Files.writeString(file, text.replace(line, replacement));
        assertEquals(deployment.publish(file), 0);
        awaitTrue(
                "version in force",
                5_000,
                () -> deployment.getNodes().stream()
                        .allMatch(node ->
                                deployment.findConfigurationVersion(node).orElse(0L) == version));
    }

    ChatStream send(String node, Chat chat) {
        return ChatStream.send(deployment.getClient(), toRequest(node, chat));
    }

    ChatStream resume(ChatStream stream, String node, Chat chat) {
        return stream.resume(deployment.getClient(), toRequest(node, chat));
    }

    HttpRequest toRequest(String node, Chat chat) {
        return deployment
                .getEndpoint(node)
                .createRequest("POST", "/v1/chat/completions")
                .withBody("application/json", chat.toBody())
                .withTimeoutMillis(0)
                .withHeader("Authorization", "Bearer " + chat.key());
    }

    /** Checks that the answer is complete and has every token of the chat once and in order. */
    static void assertComplete(ChatStream stream, Chat chat) {
        assertTrue(
                stream.awaitEnd(ANSWER_TIMEOUT_MILLIS),
                "no end in time, tokens " + stream.getTokens().size());
        assertTrue(stream.isDone(), "status " + stream.getStatus() + ", " + stream.findError());
        assertEquals(stream.getTokens(), chat.toTokens());
    }

    /**
     * Checks that the answer is complete, or a correct prefix of it with a final error that states whether the request
     * ran.
     */
    static String assertCompleteOrFinalError(ChatStream stream, Chat chat) {
        assertTrue(
                stream.awaitEnd(ANSWER_TIMEOUT_MILLIS),
                "no end in time, tokens " + stream.getTokens().size());
        if (stream.isDone()) {
            assertEquals(stream.getTokens(), chat.toTokens());
            return "complete answer";
        }
        String error = stream.findError().orElse("");
        assertTrue(
                error.contains("\"ran\":\"unknown\"") || error.contains("\"ran\":\"yes\""), "no final error: " + error);
        assertEquals(
                stream.getTokens(),
                chat.toTokens().subList(0, stream.getTokens().size()));
        return error;
    }

    /** Waits until a worker of the role holds memory and returns its id. */
    String awaitMemoryHolder(String role) {
        awaitTrue(
                role + " worker holds memory",
                5_000,
                () -> findMemoryHolder(role).isPresent());
        return findMemoryHolder(role).orElseThrow();
    }

    private Optional<String> findMemoryHolder(String role) {
        return streamRunningWorkers(role)
                .filter(w -> getCounters(w).path("pieces_in_use").asLong() > 0)
                .findFirst();
    }

    /** Gets the node that coordinates the pool of the model service while all nodes are up. */
    String getCoordinator() {
        String pool = "pool/" + deployment.getSpec().modelService();
        return RendezvousHashing.findOwner(pool, deployment.getNodes(), node -> node)
                .orElseThrow();
    }

    JsonNode getCounters(String worker) {
        try {
            return deployment.getEndpoint(worker).getJson("/control/counters");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long sumCounter(String role, String counter) {
        return streamRunningWorkers(role)
                .mapToLong(w -> getCounters(w).path(counter).asLong())
                .sum();
    }

    Map<String, Long> getPiecesInUse() {
        Map<String, Long> pieces = new TreeMap<>();
        Stream.of("prefill", "decode")
                .flatMap(this::streamRunningWorkers)
                .forEach(w -> pieces.put(w, getCounters(w).path("pieces_in_use").asLong()));
        return pieces;
    }

    /** Waits until no engine holds memory. Returns the time that this took, in milliseconds. */
    long awaitMemoryFreed(long timeoutMillis) {
        long start = System.nanoTime();
        while (true) {
            Map<String, Long> pieces = getPiecesInUse();
            long millis = (System.nanoTime() - start) / 1_000_000;
            if (pieces.values().stream().allMatch(p -> p == 0)) {
                return millis;
            }
            assertTrue(millis <= timeoutMillis, "memory held after " + millis + " ms: " + pieces);
            sleep(POLL_INTERVAL_MILLIS);
        }
    }

    static void awaitTrue(String what, long timeoutMillis, BooleanSupplier condition) {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "not within " + timeoutMillis + " ms: " + what);
            sleep(POLL_INTERVAL_MILLIS);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Returns the running workers of a role. A killed worker holds no memory. */
    Stream<String> streamRunningWorkers(String role) {
        return deployment.getWorkers(role).stream().filter(this::isRunning);
    }

    /**
     * Returns whether a worker runs. A worker that refuses connections is about to exit, although its process may still
     * count as alive for a moment.
     */
    private boolean isRunning(String worker) {
        ManagedProcess process = deployment.getProcess(worker);
        if (!process.isAlive()) {
            return false;
        }
        try {
            deployment.getEndpoint(worker).getJson("/control/counters");
            return true;
        } catch (IOException e) {
            assertTrue(process.awaitExit(EXIT_TIMEOUT_MILLIS).isPresent(), worker + " runs but does not respond: " + e);
            return false;
        }
    }

    @Override
    public void close() {
        deployment.close();
    }

    /** Holds a chat request whose answer is known in advance. */
    record Chat(String key, String priceClass, String text, String check, int tokens) {
        private static final String KEY = "example-key-chiemsee-surf";

        static Chat of(String text, String check, int tokens) {
            return new Chat(KEY, "standard", text, check, tokens);
        }

        Chat withKey(String other) {
            return new Chat(other, priceClass, text, check, tokens);
        }

        Chat withClass(String other) {
            return new Chat(key, other, text, check, tokens);
        }

        byte[] toBody() {
            String content = text + " check=" + check;
            String body = "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"service_tier\":\"%s\","
                    + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}";
            return String.format(body, MODEL, tokens, priceClass, content)
                    .getBytes(java.nio.charset.StandardCharsets.UTF_8);
        }

        List<String> toTokens() {
            List<String> texts = new ArrayList<>();
            for (int i = 1; i <= tokens; i++) {
                texts.add(" w" + i + ":" + check);
            }
            return texts;
        }
    }
}
