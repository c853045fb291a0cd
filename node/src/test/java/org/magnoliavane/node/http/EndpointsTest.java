package org.magnoliavane.node.http;

import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.json.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.magnoliavane.node.http.TestNode.body;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EndpointsTest {
    private FakeEngine prefill;
    private FakeEngine decode;
    private TestNode node;

    @BeforeMethod
    public void start() throws Exception {
        prefill = new FakeEngine("p1", WorkerRole.PREFILL);
        decode = new FakeEngine("d1", WorkerRole.DECODE);
        node = new TestNode("entry-1");
        node.servers.add(prefill.describe());
        node.servers.add(decode.describe());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        node.close();
        prefill.close();
        decode.close();
    }

    @DataProvider
    public Object[][] badRequests() {
        String chat = "/v1/chat/completions";
        return new Object[][] {
            {chat, "{\"model\":", 400, "invalid_request", "line 1, column 10"},
            {chat, "[]", 400, "invalid_request", "not a JSON object"},
            {chat, "{\"model\":\"tide-1\"}", 400, "invalid_request", "messages"},
            {chat, body(0, false), 400, "invalid_request", "max_tokens is 0"},
            {chat, body(5, false).replace("tide-1", "tide-9"), 404, "not_found", "use one of tide-1"},
            {chat, body(5, false).replace("\"stream\"", "\"service_tier\":\"x\",\"s\""), 404, "not_found", "prompt"},
            {chat, body(5, false).replace("Wie", "W".repeat(17_000)), 413, "too_large", "allowed are 4000"},
            {chat, body(5, false).replace("Wie", "W".repeat(210_000)), 413, "too_large", "200000 bytes"},
            {"/nowhere", "", 404, "not_found", "POST /bookings"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void aBadRequestIsRefusedWithTheReason(String path, String json, int status, String type, String hint)
            throws Exception {
        HttpResponse<String> response = node.call("POST", path, json);
        assertEquals(response.statusCode(), status, response.body());
        assertEquals(error(response).path("type").asText(), type);
        assertEquals(error(response).path("ran").asText(), "no");
        assertFalse(error(response).path("remedy").asText().isEmpty());
        assertTrue(response.body().contains(hint), response.body());
        assertTrue(response.headers().firstValue("Magnoliavane-Request").isPresent());
        assertTrue(node.placed.isEmpty());
    }

    @Test
    public void callersAreIdentifiedAndKeptToTheirServices() throws Exception {
        assertEquals(
                node.call("GET", "/v1/models", "", "Authorization", "Bearer nobody")
                        .statusCode(),
                401);
        String ben = "Bearer " + TestNode.OTHER_KEY;
        assertEquals(node.call("GET", "/schedule/x", "", "Authorization", ben).statusCode(), 403);
        assertTrue(node.call("GET", "/v1/models", "").body().contains("tide-1"));
    }

    @Test
    public void contentMayBeAListOfTextParts() throws Exception {
        String json = "{\"model\":\"tide-1\",\"max_completion_tokens\":2,\"service_tier\":\"auto\",\"messages\":"
                + "[{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"a\"},{\"type\":\"text\",\"text\":\"b\"}]}]}";
        assertEquals(node.chat(json).statusCode(), 200);
        assertEquals(node.placed.get(0).maxOutputTokens(), 2);
    }

    @Test
    public void addressesNameTheNearestZoneFirstAndNoLeavingNode() throws Exception {
        JsonNode answer = read(node.call("GET", "/v1/addresses?zone=b", ""));
        assertEquals(answer.path("lifetime_seconds").asInt(), 1);
        assertEquals(answer.path("addresses").size(), 2);
        assertEquals(answer.at("/addresses/0/node").asText(), "entry-9");
        assertTrue(answer.at("/addresses/0/run_token").asText().startsWith("entry-9.ab."));
        assertEquals(answer.at("/addresses/1/run_token").asText(), "entry-1.5f3a.1");
        assertEquals(answer.at("/addresses/1/url").asText(), "http://127.0.0.1:1");
    }

    /** Guards against a shutdown that cuts off requests, or callers that still hold the address. */
    @Test
    public void aLeavingNodeServesUntilItsAddressHasLapsedAndAllIsAnswered() throws Exception {
        assertEquals(node.call("GET", "/readyz", "").statusCode(), 200);
        decode.stepMillis = 1000;
        HttpRequest slow = node.request("POST", "/v1/chat/completions", body(6, false));
        CompletableFuture<HttpResponse<String>> answer =
                TestNode.HTTP.sendAsync(slow, HttpResponse.BodyHandlers.ofString());
        TestNode.await(() -> node.callers.countActive() == 1, 2000, "not accepted");
        node.callers.startLeaving();
        CompletableFuture<Void> departed = node.callers.awaitDeparture().toCompletableFuture();
        assertEquals(node.call("GET", "/readyz", "").statusCode(), 503);
        assertEquals(node.call("GET", "/healthz", "").statusCode(), 200);
        assertEquals(
                read(node.call("GET", "/v1/addresses", "")).path("addresses").size(), 1);
        assertFalse(departed.isDone());
        departed.get(8, TimeUnit.SECONDS);
        node.callers.close();
        assertEquals(answer.get(1, TimeUnit.SECONDS).statusCode(), 200);
    }

    @Test
    public void aNodeWithoutAConfigurationRefusesAndIsNotReady() throws Exception {
        node.hasConfiguration = false;
        assertEquals(node.call("GET", "/readyz", "").statusCode(), 503);
        assertEquals(node.call("GET", "/v1/addresses", "").statusCode(), 503);
        HttpResponse<String> response = node.chat(body(1, false));
        assertEquals(response.statusCode(), 503);
        assertEquals(error(response).path("ran").asText(), "no");
    }

    /** Guards against a restarted node that takes a known caller for unknown, or a key that has run for not run. */
    @Test
    public void aNodeWithoutConfigurationSendsCallersElsewhere() throws Exception {
        node.hasConfiguration = false;
        HttpResponse<String> keyed = node.call("POST", "/bookings", "{}", "Idempotency-Key", "k");
        assertEquals(keyed.statusCode(), 503);
        assertEquals(read(keyed).path("error").path("ran").asText(), "unknown");
        assertEquals(keyed.headers().firstValue("Retry-After").orElse(""), "1");
        HttpResponse<String> lookup = node.call("GET", "/schedule", "");
        assertEquals(lookup.statusCode(), 503);
        assertEquals(read(lookup).path("error").path("ran").asText(), "no");
    }

    @Test
    public void metricsComeAsTextAndAsJson() throws Exception {
        node.chat(body(3, false));
        assertTrue(node.call("GET", "/metrics", "").body().contains("responses_200 1\n"));
        JsonNode json = read(node.call("GET", "/metrics", "", "Accept", "application/json"));
        assertEquals(json.path("tokens.relayed").asInt(), 3);
    }

    @Test
    public void operatorsSeeStatusConfigurationAndDecisions() throws Exception {
        String id = node.chat(body(3, false))
                .headers()
                .firstValue("Magnoliavane-Request")
                .orElseThrow();
        JsonNode status = read(operator("/operator/status"));
        assertEquals(status.path("run").asText(), "entry-1.5f3a");
        assertEquals(status.path("configuration_version").asInt(), 7);
        assertEquals(status.path("backend_servers").size(), 2);
        assertEquals(read(operator("/operator/configuration")).path("text").asText(), "text");
        JsonNode decisions = read(operator("/operator/explain/" + id)).path("decisions");
        assertEquals(decisions.findValuesAsText("stage"), java.util.List.of("route", "admit", "place"));
        assertEquals(decisions.get(2).path("chosen").asText(), "p1>d1");
        String refused = node.call("GET", "/nowhere", "")
                .headers()
                .firstValue("Magnoliavane-Request")
                .orElseThrow();
        assertEquals(
                read(operator("/operator/explain/" + refused))
                        .at("/decisions/0/chosen")
                        .asText(),
                "not_found");
        assertEquals(operator("/operator/explain/unknown").statusCode(), 404);
    }

    @Test
    public void headersBeyondTheLimitAreRefused() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", node.callers.getPort())) {
            socket.setSoTimeout(3000);
            String head = "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            String line = new String(in.readNBytes(12), StandardCharsets.UTF_8);
            assertTrue(line.startsWith("HTTP/1.1 4"), line);
        }
    }

    private HttpResponse<String> operator(String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + node.operators.getPort() + path);
        return TestNode.HTTP.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static JsonNode error(HttpResponse<String> response) {
        return read(response).path("error");
    }

    private static JsonNode read(HttpResponse<String> response) {
        return Json.tryRead(response.body()).orElseThrow();
    }
}
