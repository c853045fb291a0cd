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
import org.magnoliavane.systemtest.DeploymentSize;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;
import org.testng.annotations.Test;

/** Guards against changes that callers and operators see and nobody meant. */
public class GoldenSessionTest {
    private static final Path ROOT = Files.isDirectory(Path.of("examples")) ? Path.of("") : Path.of("..");
    private static final Path FILES = ROOT.resolve("systemtests/src/test/resources/golden");
    private static final boolean RENEW = Boolean.getBoolean("golden.renew");

    @Test
    public void wellenbundAnswersAsRecorded() throws Exception {
        compare(DeploymentSize.wellenbund().withProcesses(3, 1, 1, 1));
    }

    @Test
    public void failteAbhaileAnswersAsRecorded() throws Exception {
        compare(DeploymentSize.failteAbhaile().withProcesses(4, 1, 1, 1));
    }

    private static void compare(DeploymentSize size) throws IOException {
        Path directory = Path.of("target/system/golden-" + size.name());
        Launcher launcher = Launcher.of(ROOT, directory);
        try (LocalDeployment deployment = LocalDeployment.start(size, launcher)) {
            GoldenSession session = new GoldenSession(launcher);
            Steps steps = new Steps(session, deployment, directory);
            steps.callAsCaller();
            steps.callWrongly();
            steps.operate();
            session.settle(FILES.resolve(size.name() + ".txt"), RENEW);
        }
    }

    /** The requests and commands of a session. */
    private record Steps(GoldenSession session, LocalDeployment deployment, Path directory) {

        void callAsCaller() throws IOException {
            Endpoint first = deployment.getEndpoint("entry-1");
            HttpResponse addresses = session.send("addresses", first, first.request("GET", "/v1/addresses?zone=b"));
            session.send("models", first, identified(first.request("GET", "/v1/models")));
            session.send("a streamed chat", first, chat(first, chatBody(true)));
            session.send("a whole chat", first, chat(first, chatBody(false)));
            String token = new ObjectMapper()
                    .readTree(addresses.body())
                    .path("addresses")
                    .path(0)
                    .path("run_token")
                    .asText();
            session.send("a booking", first, booking(first, token + "/golden-1"));
            Endpoint second = deployment.getEndpoint("entry-2");
            session.send("the same booking at another node", second, booking(second, token + "/golden-1"));
            session.send("a booking with a key without run token", first, booking(first, "golden-2"));
            session.send("the same key at another node", second, booking(second, "golden-2"));
            session.send("the same key with another body", second, withBody(booking(second, "golden-2"), "{\"n\":2}"));
            String lookup = deployment.getSize().lookupPath();
            session.send("a lookup", first, identified(first.request("GET", lookup)));
        }

        void callWrongly() throws IOException {
            Endpoint node = deployment.getEndpoint("entry-1");
            DeploymentSize size = deployment.getSize();
            session.send("no bearer key", node, node.request("GET", size.lookupPath()));
            session.send(
                    "unknown model",
                    node,
                    chat(node, chatBody(false).replace(size.models().get(0), "no-model")));
            HttpRequest post = identified(node.request("POST", size.bookingPath()));
            session.send("no idempotency key", node, withBody(post, "{\"n\":1}"));
            session.send("malformed JSON", node, chat(node, "{\"model\":"));
            session.send("unknown path", node, identified(node.request("GET", "/unknown")));
            String large = "x".repeat(maxBodyBytes() + 1);
            session.send("oversized body", node, withBody(booking(node, "golden-3"), large));
            String foreign = "entry-1.0123456789abcdef.1700000000/golden-4";
            session.send("run token of a run that has ended", node, booking(node, foreign));
        }

        void operate() throws IOException {
            String log = deployment.getEndpoint("log").getUrl();
            Path changed = directory.resolve("changed.toml");
            String text = Files.readString(deployment.getSize().getConfigurationFile());
            Files.writeString(
                    changed, text.replaceFirst("address_lifetime_seconds = \\d+", "address_lifetime_seconds = 21"));
            session.run("check", "check", changed.toString());
            session.run("publish", "publish", changed.toString(), "--log", log, "--author", "golden");
            session.run("publish the same text", "publish", changed.toString(), "--log", log);
            Files.writeString(
                    changed, text.replaceFirst("address_lifetime_seconds = \\d+", "address_lifetime_seconds = 22"));
            session.run("publish on an old base", "publish", changed.toString(), "--log", log, "--base", "1");
            session.run("history", "history", "--log", log);
            deployment.getNodes().forEach(this::awaitSecondVersion);
            String nodes = deployment.getNodes().stream()
                    .map(n -> deployment.getOperatorEndpoint(n).getUrl())
                    .collect(Collectors.joining(","));
            session.run("status", "status", "--node", nodes);
        }

        private void awaitSecondVersion(String node) {
            long end = System.nanoTime() + 3_000_000_000L;
            while (deployment.findVersion(node).orElse(0L) < 2) {
                if (System.nanoTime() > end) {
                    throw new AssertionError("version 2 is not in force at " + node + " after 3 s");
                }
            }
        }

        private int maxBodyBytes() throws IOException {
            String text = Files.readString(deployment.getSize().getConfigurationFile());
            return ConfigurationText.parse(text, 1).get().limits().maxBodyBytes();
        }

        private String chatBody(boolean streamed) {
            return "{\"model\":\"" + deployment.getSize().models().get(0) + "\",\"stream\":" + streamed
                    + ",\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"What is new today?\"}]}";
        }

        private HttpRequest chat(Endpoint node, String body) {
            return withBody(identified(node.request("POST", "/v1/chat/completions")), body);
        }

        private HttpRequest booking(Endpoint node, String key) {
            String path = deployment.getSize().bookingPath();
            return withBody(identified(node.request("POST", path)).withHeader("Idempotency-Key", key), "{\"n\":1}");
        }

        private HttpRequest identified(HttpRequest request) {
            return request.withHeader(
                    "Authorization", "Bearer " + deployment.getSize().bearerKey());
        }

        private static HttpRequest withBody(HttpRequest request, String body) {
            return request.withBody("application/json", body.getBytes(StandardCharsets.UTF_8));
        }
    }
}
