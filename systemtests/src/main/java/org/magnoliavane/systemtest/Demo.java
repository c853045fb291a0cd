package org.magnoliavane.systemtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;

/**
 * Demonstrates the router on a complete deployment. The exit status is 0 when every step succeeded, 1 when a step
 * failed and 2 for wrong arguments.
 */
public final class Demo {
    private static final int TOKENS = 120;
    private static final int TOKENS_BEFORE_KILL = 20;
    private static final long STREAM_TIMEOUT_MILLIS = 20_000;
    private static final long MAX_ACTIVATION_MILLIS = 3_000;

    private final LocalDeployment deployment;
    private final DeploymentSpec spec;
    private final Path directory;
    private final List<Step> steps = new ArrayList<>();

    private Demo(LocalDeployment deployment, Path directory) {
        this.deployment = deployment;
        this.spec = deployment.getSpec();
        this.directory = directory;
    }

    /**
     * Runs the demonstration.
     *
     * @param arguments {@code wellenbund} (default) or {@code failte}, and {@code --keep}
     * @throws Exception when the deployment cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        List<String> options = Arrays.asList(arguments);
        List<String> unknown = options.stream()
                .filter(option -> !List.of("wellenbund", "failte", "--keep").contains(option))
                .toList();
        if (!unknown.isEmpty()) {
            System.err.println("unknown argument " + unknown + "; usage: bin/demo [wellenbund|failte] [--keep]");
            System.exit(2);
        }
        DeploymentSpec spec = options.contains("failte") ? DeploymentSpec.failteAbhaile() : DeploymentSpec.wellenbund();
        System.exit(run(spec, options.contains("--keep")));
    }

    private static int run(DeploymentSpec spec, boolean keep) throws Exception {
        Path directory = Files.createTempDirectory("magnoliavane-demo");
        Launcher launcher = Launcher.of(Path.of(""), directory);
        System.out.println("starting " + spec.name() + "; output of the processes in " + directory);
        LocalDeployment deployment = LocalDeployment.start(spec, launcher);
        Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
        Demo demo = new Demo(deployment, directory);
        demo.runSteps();
        int status = demo.printTable();
        if (keep) {
            deployment
                    .getNodes()
                    .forEach(node -> System.out.println(
                            node + " " + deployment.getEndpoint(node).getUrl()));
            System.out.println("running until interrupted");
            new CountDownLatch(1).await();
        }
        return status;
    }

    private void runSteps() {
        runStep("addresses with lifetime and run tokens", this::queryAddresses);
        runStep("streamed answer arrives whole", this::streamAnswer);
        runStep("booking sent twice under one key runs once", this::bookTwice);
        runStep("lookup is answered", this::lookUp);
        runStep("configuration change in force at every node", this::changeConfiguration);
        runStep("stream resumed at another node after a kill", this::resumeAfterKill);
    }

    private String queryAddresses() throws IOException {
        JsonNode response = deployment.getEndpoint("entry-1").getJson("/v1/addresses");
        int count = response.path("addresses").size();
        check(count == spec.nodes(), count + " addresses instead of " + spec.nodes());
        return count + " addresses, lifetime " + response.path("lifetime_seconds") + " s";
    }

    private String streamAnswer() {
        ChatStream stream = ChatStream.send(deployment.getClient(), createChatRequest("entry-1", "Tide at noon?"));
        check(stream.awaitEnd(STREAM_TIMEOUT_MILLIS), "no end in time");
        checkComplete(stream);
        return stream.getTokens().size() + " tokens, finish reason "
                + stream.findFinishReason().orElse("none");
    }

    private String bookTwice() throws IOException {
        JsonNode addresses = deployment.getEndpoint("entry-1").getJson("/v1/addresses");
        String key = addresses.path("addresses").path(0).path("run_token").asText() + "/" + UUID.randomUUID();
        HttpResponse first = book("entry-2", key);
        HttpResponse second = book("entry-3", key);
        check(first.status() == 201, "first request returned status " + first.status() + ": " + first.getText());
        check(second.getText().equals(first.getText()), "second response differs: " + second.getText());
        int runs = countRuns(key);
        check(runs == 1, runs + " runs");
        return "1 run, same answer from two nodes";
    }

    private HttpResponse book(String node, String key) throws IOException {
        return deployment
                .getEndpoint(node)
                .send("POST", spec.bookingPath(), Map.of("slot", "10:00"), createHeaders("Idempotency-Key", key));
    }

    private int countRuns(String key) throws IOException {
        int runs = 0;
        for (String worker : deployment.getWorkers("plain")) {
            JsonNode counts = deployment.getEndpoint(worker).getJson("/control/runs");
            runs += counts.path(key).asInt(0);
        }
        return runs;
    }

    private String lookUp() throws IOException {
        Endpoint endpoint = deployment.getEndpoint("entry-1");
        HttpResponse response = endpoint.send(endpoint.createRequest("GET", spec.lookupPath())
                .withHeader("Authorization", "Bearer " + spec.bearerKey()));
        check(response.status() == 200, "status " + response.status() + ": " + response.getText());
        return "status 200";
    }

    private String changeConfiguration() throws IOException {
        Path changed = directory.resolve("changed.toml");
        String text = Files.readString(spec.getConfigurationFile());
        Files.writeString(
                changed, text.replaceFirst("address_lifetime_seconds = \\d+", "address_lifetime_seconds = 20"));
        int status = deployment.publish(changed);
        check(status == 0, "publish ended with exit status " + status);
        long start = System.nanoTime();
        long millis = awaitVersion(2, start);
        return "version 2 at " + spec.nodes() + " nodes, " + millis + " ms after the publication returned";
    }

    private long awaitVersion(long version, long startNanos) {
        while (true) {
            long millis = (System.nanoTime() - startNanos) / 1_000_000;
            boolean everywhere = deployment.getNodes().stream()
                    .allMatch(node -> deployment.findConfigurationVersion(node).equals(Optional.of(version)));
            if (everywhere) {
                return millis;
            }
            check(millis <= MAX_ACTIVATION_MILLIS, "not in force everywhere after " + millis + " ms");
            ManagedProcess.sleep(20);
        }
    }

    private String resumeAfterKill() {
        String question = "Safety note for a long lesson, please.";
        ChatStream interrupted = ChatStream.send(deployment.getClient(), createChatRequest("entry-1", question));
        check(
                interrupted.awaitTokens(TOKENS_BEFORE_KILL, STREAM_TIMEOUT_MILLIS),
                "too few tokens: " + interrupted.findError());
        deployment.killNode("entry-1");
        interrupted.awaitEnd(STREAM_TIMEOUT_MILLIS);
        int before = interrupted.getTokens().size();
        ChatStream resumed = interrupted.resume(deployment.getClient(), createChatRequest("entry-2", question));
        check(resumed.awaitEnd(STREAM_TIMEOUT_MILLIS), "no end in time");
        checkComplete(resumed);
        return before + " tokens before the kill, " + (resumed.getTokens().size() - before) + " after it";
    }

    private void checkComplete(ChatStream stream) {
        check(stream.isDone(), "answer is not complete: status " + stream.getStatus() + ", " + stream.findError());
        List<String> texts = stream.getTokens();
        check(texts.size() == TOKENS, texts.size() + " tokens instead of " + TOKENS);
        for (int i = 0; i < texts.size(); i++) {
            check(texts.get(i).startsWith(" w" + (i + 1) + ":"), "token " + (i + 1) + " is '" + texts.get(i) + "'");
        }
    }

    private HttpRequest createChatRequest(String node, String question) {
        Map<String, Object> body = Map.of(
                "model",
                spec.models().get(0),
                "stream",
                true,
                "max_tokens",
                TOKENS,
                "messages",
                List.of(Map.of("role", "user", "content", question)));
        return deployment
                .getEndpoint(node)
                .createRequest("POST", "/v1/chat/completions")
                .withBody("application/json", Endpoint.toJsonBytes(body))
                .withHeader("Authorization", "Bearer " + spec.bearerKey());
    }

    private Map<String, String> createHeaders(String name, String value) {
        return Map.of("Authorization", "Bearer " + spec.bearerKey(), name, value);
    }

    private void runStep(String name, Action action) {
        long start = System.nanoTime();
        String result;
        boolean passed = true;
        try {
            result = action.run();
        } catch (IOException | RuntimeException e) {
            passed = false;
            result = String.valueOf(e.getMessage());
        }
        steps.add(new Step(name, passed, (System.nanoTime() - start) / 1_000_000, result));
    }

    private int printTable() {
        for (Step step : steps) {
            System.out.printf(
                    "%-7s %6d ms  %-48s %s%n", step.passed ? "held" : "FAILED", step.millis, step.name, step.result);
        }
        return steps.stream().allMatch(Step::passed) ? 0 : 1;
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }

    /** Runs one step and returns a description of its result. */
    @FunctionalInterface
    private interface Action {
        String run() throws IOException;
    }

    private record Step(String name, boolean passed, long millis, String result) {}
}
