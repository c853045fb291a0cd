package org.magnoliavane.systemtest.golden;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.config.ConfigurationText;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.systemtest.DeploymentSpec;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;
import org.testng.annotations.Test;

/** Tests that what callers and operators see matches the recorded sessions, to find unintended changes. */
public class GoldenSessionTest {
    private static final Path ROOT = Files.isDirectory(Path.of("examples")) ? Path.of("") : Path.of("..");
    private static final Path FILES = ROOT.resolve("systemtests/src/test/resources/golden");
    private static final boolean RENEW = Boolean.getBoolean("golden.renew");

    @Test
    public void wellenbundRespondsAsRecorded() throws Exception {
        compare(DeploymentSpec.wellenbund().withProcesses(3, 1, 1, 1));
    }

    @Test
    public void failteAbhaileRespondsAsRecorded() throws Exception {
        compare(DeploymentSpec.failteAbhaile().withProcesses(4, 1, 1, 1));
    }

    private static void compare(DeploymentSpec spec) throws IOException {
        Path directory = Path.of("target/system/golden-" + spec.name());
        Launcher launcher = Launcher.of(ROOT, directory);
        try (LocalDeployment deployment = LocalDeployment.start(spec, launcher)) {
            GoldenSession session = new GoldenSession(launcher);
            Steps steps = new Steps(session, deployment, directory);
            steps.sendValidRequests();
            steps.sendInvalidRequests();
            steps.runOperatorCommands();
            session.compareOrRenew(FILES.resolve(spec.name() + ".txt"), RENEW);
        }
    }

    /** Sends the requests and runs the commands of a session. */
    private record Steps(GoldenSession session, LocalDeployment deployment, Path directory) {

        void sendValidRequests() throws IOException {
            Endpoint first = deployment.getEndpoint("entry-1");
            HttpResponse addresses =
                    session.send("addresses", first, first.createRequest("GET", "/v1/addresses?zone=b"));
            session.send("models", first, withCredentials(first.createRequest("GET", "/v1/models")));
            session.send("a streamed chat", first, createChatRequest(first, createChatBody(true)));
            session.send("a whole chat", first, createChatRequest(first, createChatBody(false)));
            String token = new ObjectMapper()
                    .readTree(addresses.body())
                    .path("addresses")
                    .path(0)
                    .path("run_token")
                    .asText();
            session.send("a booking", first, createBookingRequest(first, token + "/golden-1"));
            Endpoint second = deployment.getEndpoint("entry-2");
            session.send("the same booking at another node", second, createBookingRequest(second, token + "/golden-1"));
            session.send("a booking with a key without run token", first, createBookingRequest(first, "golden-2"));
            session.send("the same key at another node", second, createBookingRequest(second, "golden-2"));
            session.send(
                    "the same key with another body",
                    second,
                    withBody(createBookingRequest(second, "golden-2"), "{\"n\":2}"));
            String lookup = deployment.getSpec().lookupPath();
            session.send("a lookup", first, withCredentials(first.createRequest("GET", lookup)));
        }

        void sendInvalidRequests() throws IOException {
            Endpoint node = deployment.getEndpoint("entry-1");
            DeploymentSpec spec = deployment.getSpec();
            session.send("no bearer key", node, node.createRequest("GET", spec.lookupPath()));
            session.send(
                    "unknown model",
                    node,
                    createChatRequest(
                            node, createChatBody(false).replace(spec.models().get(0), "no-model")));
            HttpRequest post = withCredentials(node.createRequest("POST", spec.bookingPath()));
            session.send("no idempotency key", node, withBody(post, "{\"n\":1}"));
            session.send("malformed JSON", node, createChatRequest(node, "{\"model\":"));
            session.send("unknown path", node, withCredentials(node.createRequest("GET", "/unknown")));
            String large = "x".repeat(getMaxBodyBytes() + 1);
            session.send("oversized body", node, withBody(createBookingRequest(node, "golden-3"), large));
            String endedRunKey = "entry-1.0123456789abcdef.1700000000/golden-4";
            session.send("run token of a run that has ended", node, createBookingRequest(node, endedRunKey));
        }

        void runOperatorCommands() throws IOException {
            String log = deployment.getEndpoint("log").getUrl();
            Path changed = directory.resolve("changed.toml");
            String text = Files.readString(deployment.getSpec().getConfigurationFile());
            Files.writeString(
                    changed, text.replaceFirst("address_lifetime_seconds = \\d+", "address_lifetime_seconds = 21"));
            session.runCommand("check", "check", changed.toString());
            session.runCommand("publish", "publish", changed.toString(), "--log", log, "--author", "golden");
            session.runCommand("publish the same text", "publish", changed.toString(), "--log", log);
            Files.writeString(
                    changed, text.replaceFirst("address_lifetime_seconds = \\d+", "address_lifetime_seconds = 22"));
            session.runCommand("publish on an old base", "publish", changed.toString(), "--log", log, "--base", "1");
            session.runCommand("history", "history", "--log", log);
            deployment.getNodes().forEach(this::awaitSecondVersion);
            String nodes = deployment.getNodes().stream()
                    .map(n -> deployment.getOperatorEndpoint(n).getUrl())
                    .collect(Collectors.joining(","));
            session.runCommand("status", "status", "--node", nodes);
        }

        private void awaitSecondVersion(String node) {
            long end = System.nanoTime() + 3_000_000_000L;
            while (deployment.findConfigurationVersion(node).orElse(0L) < 2) {
                if (System.nanoTime() > end) {
                    throw new AssertionError("version 2 is not in force at " + node + " after 3 s");
                }
            }
        }

        private int getMaxBodyBytes() throws IOException {
            String text = Files.readString(deployment.getSpec().getConfigurationFile());
            return ConfigurationText.parse(text, 1).get().limits().maxBodyBytes();
        }

        private String createChatBody(boolean streamed) {
            return "{\"model\":\"" + deployment.getSpec().models().get(0) + "\",\"stream\":" + streamed
                    + ",\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"What is new today?\"}]}";
        }

        private HttpRequest createChatRequest(Endpoint node, String body) {
            return withBody(withCredentials(node.createRequest("POST", "/v1/chat/completions")), body);
        }

        private HttpRequest createBookingRequest(Endpoint node, String key) {
            String path = deployment.getSpec().bookingPath();
            return withBody(
                    withCredentials(node.createRequest("POST", path)).withHeader("Idempotency-Key", key), "{\"n\":1}");
        }

        private HttpRequest withCredentials(HttpRequest request) {
            return request.withHeader(
                    "Authorization", "Bearer " + deployment.getSpec().bearerKey());
        }

        private static HttpRequest withBody(HttpRequest request, String body) {
            return request.withBody("application/json", body.getBytes(StandardCharsets.UTF_8));
        }
    }
}
