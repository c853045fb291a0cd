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

import static org.magnoliavane.node.http.TestNode.createBody;
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
        node.servers.add(prefill.toBackendServer());
        node.servers.add(decode.toBackendServer());
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
            {chat, createBody(0, false), 400, "invalid_request", "max_tokens is 0"},
            {chat, createBody(5, false).replace("tide-1", "tide-9"), 404, "not_found", "use one of tide-1"},
            {
                chat,
                createBody(5, false).replace("\"stream\"", "\"service_tier\":\"x\",\"s\""),
                404,
                "not_found",
                "prompt"
            },
            {chat, createBody(5, false).replace("Wie", "W".repeat(17_000)), 413, "too_large", "allowed are 4000"},
            {chat, createBody(5, false).replace("Wie", "W".repeat(210_000)), 413, "too_large", "200000 bytes"},
            {"/nowhere", "", 404, "not_found", "POST /bookings"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void aBadRequestIsRefusedWithAReason(String path, String json, int status, String type, String hint)
            throws Exception {
        HttpResponse<String> response = node.send("POST", path, json);
        assertEquals(response.statusCode(), status, response.body());
        assertEquals(readError(response).path("type").asText(), type);
        assertEquals(readError(response).path("ran").asText(), "no");
        assertFalse(readError(response).path("remedy").asText().isEmpty());
        assertTrue(response.body().contains(hint), response.body());
        assertTrue(response.headers().firstValue("Magnoliavane-Request").isPresent());
        assertTrue(node.placed.isEmpty());
    }

    @Test
    public void callersAreAuthenticatedAndRestrictedToTheirServices() throws Exception {
        assertEquals(
                node.send("GET", "/v1/models", "", "Authorization", "Bearer nobody")
                        .statusCode(),
                401);
        String ben = "Bearer " + TestNode.OTHER_KEY;
        assertEquals(node.send("GET", "/schedule/x", "", "Authorization", ben).statusCode(), 403);
        assertTrue(node.send("GET", "/v1/models", "").body().contains("tide-1"));
    }

    @Test
    public void contentMayBeAListOfTextParts() throws Exception {
        String json = "{\"model\":\"tide-1\",\"max_completion_tokens\":2,\"service_tier\":\"auto\",\"messages\":"
                + "[{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"a\"},{\"type\":\"text\",\"text\":\"b\"}]}]}";
        assertEquals(node.chat(json).statusCode(), 200);
        assertEquals(node.placed.get(0).maxOutputTokens(), 2);
    }

    @Test
    public void addressesListTheNearestZoneFirstAndOmitNodesThatShutDown() throws Exception {
        JsonNode answer = readJson(node.send("GET", "/v1/addresses?zone=b", ""));
        assertEquals(answer.path("lifetime_seconds").asInt(), 1);
        assertEquals(answer.path("addresses").size(), 2);
        assertEquals(answer.at("/addresses/0/node").asText(), "entry-9");
        assertTrue(answer.at("/addresses/0/run_token").asText().startsWith("entry-9.ab."));
        assertEquals(answer.at("/addresses/1/run_token").asText(), "entry-1.5f3a.1");
        assertEquals(answer.at("/addresses/1/url").asText(), "http://127.0.0.1:1");
    }

    /** Guards against a shutdown that aborts requests, or that ends while callers still use the cached address. */
    @Test
    public void aNodeThatShutsDownServesUntilItsAddressHasExpiredAndAllRequestsHaveEnded() throws Exception {
        assertEquals(node.send("GET", "/readyz", "").statusCode(), 200);
        decode.stepMillis = 1000;
        HttpRequest slow = node.createRequest("POST", "/v1/chat/completions", createBody(6, false));
        CompletableFuture<HttpResponse<String>> answer =
                TestNode.HTTP.sendAsync(slow, HttpResponse.BodyHandlers.ofString());
        TestNode.await(() -> node.callers.getActiveRequestCount() == 1, 2000, "not accepted");
        node.callers.startShutdown();
        CompletableFuture<Void> shutDown = node.callers.awaitShutdown().toCompletableFuture();
        assertEquals(node.send("GET", "/readyz", "").statusCode(), 503);
        assertEquals(node.send("GET", "/healthz", "").statusCode(), 200);
        assertEquals(
                readJson(node.send("GET", "/v1/addresses", ""))
                        .path("addresses")
                        .size(),
                1);
        assertFalse(shutDown.isDone());
        shutDown.get(8, TimeUnit.SECONDS);
        node.callers.close();
        assertEquals(answer.get(1, TimeUnit.SECONDS).statusCode(), 200);
    }

    @Test
    public void aNodeWithoutConfigurationRefusesRequestsAndIsNotReady() throws Exception {
        node.hasConfiguration = false;
        assertEquals(node.send("GET", "/readyz", "").statusCode(), 503);
        assertEquals(node.send("GET", "/v1/addresses", "").statusCode(), 503);
        HttpResponse<String> response = node.chat(createBody(1, false));
        assertEquals(response.statusCode(), 503);
        assertEquals(readError(response).path("ran").asText(), "no");
    }

    /**
     * Guards against a restarted node that rejects known callers, or that reports an executed key as not run, before it
     * has its configuration.
     */
    @Test
    public void aNodeWithoutConfigurationReportsKeyedRequestsAsUnknown() throws Exception {
        node.hasConfiguration = false;
        HttpResponse<String> keyed = node.send("POST", "/bookings", "{}", "Idempotency-Key", "k");
        assertEquals(keyed.statusCode(), 503);
        assertEquals(readJson(keyed).path("error").path("ran").asText(), "unknown");
        assertEquals(keyed.headers().firstValue("Retry-After").orElse(""), "1");
        HttpResponse<String> lookup = node.send("GET", "/schedule", "");
        assertEquals(lookup.statusCode(), 503);
        assertEquals(readJson(lookup).path("error").path("ran").asText(), "no");
    }

    @Test
    public void metricsAreProvidedAsTextAndAsJson() throws Exception {
        node.chat(createBody(3, false));
        assertTrue(node.send("GET", "/metrics", "").body().contains("responses_200 1\n"));
        JsonNode json = readJson(node.send("GET", "/metrics", "", "Accept", "application/json"));
        assertEquals(json.path("tokens.relayed").asInt(), 3);
    }

    @Test
    public void operatorsSeeStatusConfigurationAndDecisions() throws Exception {
        String id = node.chat(createBody(3, false))
                .headers()
                .firstValue("Magnoliavane-Request")
                .orElseThrow();
        JsonNode status = readJson(sendOperatorRequest("/operator/status"));
        assertEquals(status.path("run").asText(), "entry-1.5f3a");
        assertEquals(status.path("configuration_version").asInt(), 7);
        assertEquals(status.path("backend_servers").size(), 2);
        assertEquals(
                readJson(sendOperatorRequest("/operator/configuration"))
                        .path("text")
                        .asText(),
                "text");
        JsonNode decisions =
                readJson(sendOperatorRequest("/operator/explain/" + id)).path("decisions");
        assertEquals(decisions.findValuesAsText("stage"), java.util.List.of("route", "admit", "place"));
        assertEquals(decisions.get(2).path("chosen").asText(), "p1>d1");
        String refused = node.send("GET", "/nowhere", "")
                .headers()
                .firstValue("Magnoliavane-Request")
                .orElseThrow();
        assertEquals(
                readJson(sendOperatorRequest("/operator/explain/" + refused))
                        .at("/decisions/0/chosen")
                        .asText(),
                "not_found");
        assertEquals(sendOperatorRequest("/operator/explain/unknown").statusCode(), 404);
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

    private HttpResponse<String> sendOperatorRequest(String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + node.operators.getPort() + path);
        return TestNode.HTTP.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static JsonNode readError(HttpResponse<String> response) {
        return readJson(response).path("error");
    }

    private static JsonNode readJson(HttpResponse<String> response) {
        return Json.tryRead(response.body()).orElseThrow();
    }
}
