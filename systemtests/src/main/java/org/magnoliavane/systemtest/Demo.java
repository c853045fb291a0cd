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
 * Shows on a whole deployment what the router does. Exit status 0 when every step held, 1 when one did not, 2 for wrong
 * arguments.
 */
public final class Demo {
    private static final int TOKENS = 120;
    private static final int TOKENS_BEFORE_KILL = 20;
    private static final long STREAM_MILLIS = 20_000;
    private static final long IN_FORCE_MILLIS = 3_000;

    private final LocalDeployment deployment;
    private final DeploymentSize size;
    private final Path directory;
    private final List<Step> steps = new ArrayList<>();

    private Demo(LocalDeployment deployment, Path directory) {
        this.deployment = deployment;
        this.size = deployment.getSize();
        this.directory = directory;
    }

    /**
     * Runs the demonstration.
     *
     * @param arguments {@code wellenbund} (default) or {@code failte}, and {@code --keep}
     * @throws Exception when the deployment cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        List<String> words = Arrays.asList(arguments);
        List<String> unknown = words.stream()
                .filter(word -> !List.of("wellenbund", "failte", "--keep").contains(word))
                .toList();
        if (!unknown.isEmpty()) {
            System.err.println("unknown argument " + unknown + "; usage: bin/demo [wellenbund|failte] [--keep]");
            System.exit(2);
        }
        DeploymentSize size = words.contains("failte") ? DeploymentSize.failteAbhaile() : DeploymentSize.wellenbund();
        System.exit(run(size, words.contains("--keep")));
    }

    private static int run(DeploymentSize size, boolean keep) throws Exception {
        Path directory = Files.createTempDirectory("magnoliavane-demo");
        Launcher launcher = Launcher.of(Path.of(""), directory);
        System.out.println("starting " + size.name() + "; output of the processes in " + directory);
        LocalDeployment deployment = LocalDeployment.start(size, launcher);
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
        step("addresses with lifetime and run tokens", this::askAddresses);
        step("streamed answer arrives whole", this::streamAnswer);
        step("booking sent twice under one key runs once", this::bookTwice);
        step("lookup is answered", this::lookUp);
        step("configuration change in force at every node", this::changeConfiguration);
        step("stream resumed at another node after a kill", this::resumeAfterKill);
    }

    private String askAddresses() throws IOException {
        JsonNode answer = deployment.getEndpoint("entry-1").get("/v1/addresses");
        int count = answer.path("addresses").size();
        check(count == size.nodes(), count + " addresses in place of " + size.nodes());
        return count + " addresses, lifetime " + answer.path("lifetime_seconds") + " s";
    }

    private String streamAnswer() {
        ChatStream stream = ChatStream.send(deployment.getClient(), chatAt("entry-1", "Tide at noon?"));
        check(stream.awaitEnd(STREAM_MILLIS), "no end in time");
        checkWhole(stream);
        return stream.getTexts().size() + " tokens, finish reason "
                + stream.findFinishReason().orElse("none");
    }

    private String bookTwice() throws IOException {
        JsonNode addresses = deployment.getEndpoint("entry-1").get("/v1/addresses");
        String key = addresses.path("addresses").path(0).path("run_token").asText() + "/" + UUID.randomUUID();
        HttpResponse first = book("entry-2", key);
        HttpResponse second = book("entry-3", key);
        check(first.status() == 201, "first call gave " + first.status() + ": " + first.getText());
        check(second.getText().equals(first.getText()), "second answer differs: " + second.getText());
        int runs = countRuns(key);
        check(runs == 1, runs + " runs");
        return "1 run, same answer from two nodes";
    }

    private HttpResponse book(String node, String key) throws IOException {
        return deployment
                .getEndpoint(node)
                .send("POST", size.bookingPath(), Map.of("slot", "10:00"), withCredentials("Idempotency-Key", key));
    }

    private int countRuns(String key) throws IOException {
        int runs = 0;
        for (String worker : deployment.getWorkers("plain")) {
            JsonNode counts = deployment.getEndpoint(worker).get("/control/runs");
            runs += counts.path(key).asInt(0);
        }
        return runs;
    }

    private String lookUp() throws IOException {
        Endpoint endpoint = deployment.getEndpoint("entry-1");
        HttpResponse response = endpoint.send(
                endpoint.request("GET", size.lookupPath()).withHeader("Authorization", "Bearer " + size.bearerKey()));
        check(response.status() == 200, "status " + response.status() + ": " + response.getText());
        return "status 200";
    }

    private String changeConfiguration() throws IOException {
        Path changed = directory.resolve("changed.toml");
        String text = Files.readString(size.getConfigurationFile());
        Files.writeString(
                changed, text.replaceFirst("address_lifetime_seconds = \\d+", "address_lifetime_seconds = 20"));
        int status = deployment.publish(changed);
        check(status == 0, "publish ended with status " + status);
        long start = System.nanoTime();
        long millis = awaitVersion(2, start);
        return "version 2 at " + size.nodes() + " nodes, " + millis + " ms after the publication returned";
    }

    private long awaitVersion(long version, long startNanos) {
        while (true) {
            long millis = (System.nanoTime() - startNanos) / 1_000_000;
            boolean everywhere = deployment.getNodes().stream()
                    .allMatch(node -> deployment.findVersion(node).equals(Optional.of(version)));
            if (everywhere) {
                return millis;
            }
            check(millis <= IN_FORCE_MILLIS, "not in force everywhere after " + millis + " ms");
            ManagedProcess.sleep(20);
        }
    }

    private String resumeAfterKill() {
        String question = "Safety note for a long lesson, please.";
        ChatStream broken = ChatStream.send(deployment.getClient(), chatAt("entry-1", question));
        check(broken.awaitTokens(TOKENS_BEFORE_KILL, STREAM_MILLIS), "too few tokens: " + broken.findError());
        deployment.killNode("entry-1");
        broken.awaitEnd(STREAM_MILLIS);
        int before = broken.getTexts().size();
        ChatStream resumed = broken.resume(deployment.getClient(), chatAt("entry-2", question));
        check(resumed.awaitEnd(STREAM_MILLIS), "no end in time");
        checkWhole(resumed);
        return before + " tokens before the kill, " + (resumed.getTexts().size() - before) + " after it";
    }

    private void checkWhole(ChatStream stream) {
        check(stream.isDone(), "not complete: status " + stream.getStatus() + ", " + stream.findError());
        List<String> texts = stream.getTexts();
        check(texts.size() == TOKENS, texts.size() + " tokens in place of " + TOKENS);
        for (int i = 0; i < texts.size(); i++) {
            check(texts.get(i).startsWith(" w" + (i + 1) + ":"), "token " + (i + 1) + " is '" + texts.get(i) + "'");
        }
    }

    private HttpRequest chatAt(String node, String question) {
        Map<String, Object> body = Map.of(
                "model",
                size.models().get(0),
                "stream",
                true,
                "max_tokens",
                TOKENS,
                "messages",
                List.of(Map.of("role", "user", "content", question)));
        return deployment
                .getEndpoint(node)
                .request("POST", "/v1/chat/completions")
                .withBody("application/json", Endpoint.toBytes(body))
                .withHeader("Authorization", "Bearer " + size.bearerKey());
    }

    private Map<String, String> withCredentials(String name, String value) {
        return Map.of("Authorization", "Bearer " + size.bearerKey(), name, value);
    }

    private void step(String name, Action action) {
        long start = System.nanoTime();
        String result;
        boolean held = true;
        try {
            result = action.run();
        } catch (IOException | RuntimeException e) {
            held = false;
            result = String.valueOf(e.getMessage());
        }
        steps.add(new Step(name, held, (System.nanoTime() - start) / 1_000_000, result));
    }

    private int printTable() {
        for (Step step : steps) {
            System.out.printf(
                    "%-7s %6d ms  %-48s %s%n", step.held ? "held" : "FAILED", step.millis, step.name, step.result);
        }
        return steps.stream().allMatch(Step::held) ? 0 : 1;
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }

    /** Does one step and describes what happened. */
    @FunctionalInterface
    private interface Action {
        String run() throws IOException;
    }

    private record Step(String name, boolean held, long millis, String result) {}
}
