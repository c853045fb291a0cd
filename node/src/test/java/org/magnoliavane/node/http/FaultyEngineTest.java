package org.magnoliavane.node.http;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.json.Json;
import org.magnoliavane.node.http.FakeEngine.RequestKind;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.magnoliavane.node.http.TestNode.await;
import static org.magnoliavane.node.http.TestNode.createBody;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests what counts as the state of an attempt, and as the rest and the end of an answer, when an engine responds wrongly. */
public class FaultyEngineTest {
    private static final int TOKENS = 9;
    private static final int BREAK_AFTER = 4;
    private static final String[] DEADLINE = {"Magnoliavane-Deadline-Millis", "3000"};
    private static final String DONE =
            "event: done\ndata: {\"finish_reason\":\"stop\",\"prompt_tokens\":7,\"completion_tokens\":" + TOKENS
                    + "}\n\n";

    private FakeEngine prefill;
    private FakeEngine decode;
    private FakeEngine otherDecode;
    private TestNode node;

    @BeforeMethod
    public void start() throws Exception {
        prefill = new FakeEngine("p1", WorkerRole.PREFILL);
        decode = new FakeEngine("d1", WorkerRole.DECODE);
        otherDecode = new FakeEngine("d2", WorkerRole.DECODE);
        node = new TestNode("entry-1");
        node.servers.addAll(
                List.of(prefill.toBackendServer(), decode.toBackendServer(), otherDecode.toBackendServer()));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        node.close();
        prefill.close();
        decode.close();
        otherDecode.close();
    }

    @DataProvider
    public Object[][] faultyContinuations() {
        return new Object[][] {
            {"an error with status 200", respond(200, "{\"error\":{\"kind\":\"oops\"}}\n\n")},
            {"a comment and the end", respond(200, ": waiting\n\n")},
            {"an event of an unknown kind", respond(200, "event: oops\ndata: {}\n\n")},
            {"the tokens of before only", respond(200, toEvents(1, BREAK_AFTER, " w"))},
            {"an empty body", respond(200, "")},
            {"status 204", respond(204, "")},
            {"status 404", respond(404, "{\"error\":{\"kind\":\"oops\"}}")},
            {"status 500", respond(500, "oops")},
            {"an error event", respond(200, "event: error\ndata: {\"kind\":\"oops\"}\n\n")},
            {"a later token", respond(200, toEvents(BREAK_AFTER + 2, TOKENS, " w") + DONE)},
            {"the end only", respond(200, DONE)},
            {"an end without numbers", respond(200, "event: done\ndata: oops\n\n")},
            {"another answer from its beginning", respond(200, toEvents(1, TOKENS, " oops") + DONE)},
            {"another answer from the token before", respond(200, toEvents(BREAK_AFTER, TOKENS, " oops") + DONE)},
            {
                "a token without text",
                respond(200, toEvents(BREAK_AFTER + 1, TOKENS, " w").replace("text", "oops") + DONE)
            },
        };
    }

    /** Guards against answers that mix two streams or lack tokens, and against callers that wait for a faulty engine. */
    @Test(dataProvider = "faultyContinuations")
    public void aFaultyContinuationIsReplacedByAnotherAttempt(String name, HttpHandler fault) throws Exception {
        decode.closeAfterTokens = BREAK_AFTER;
        decode.faults.put(RequestKind.RESUME, fault);
        assertWhole(name, node.chat(createBody(TOKENS, true), DEADLINE).body());
    }

    /** Guards against a sound worker that counts as failed because a new connection is lost while its stream stalls. */
    @Test
    public void oneLostReplacementWithoutATokenIsReplacedAgain() throws Exception {
        decode.closeAfterTokens = BREAK_AFTER;
        decode.faults.put(RequestKind.RESUME, exchange -> {
            decode.faults.remove(RequestKind.RESUME);
            respond(exchange, 200, ": waiting\n\n");
        });
        assertEquals(joinText(node.chat(createBody(TOKENS, true), DEADLINE).body()), toText());
        assertEquals(node.placed.size(), 1);
    }

    /** Guards against the tokens of another answer in a stream that its caller resumes. */
    @Test
    public void aResumedStreamGetsNoTokensOfAnotherAnswer() throws Exception {
        decode.stepMillis = 20;
        CompletableFuture<HttpResponse<String>> first = startStream();
        decode.faults.put(RequestKind.RESUME, respond(200, toEvents(1, 20, " oops") + DONE));
        String id = "d1/" + node.placed.get(0).attempt() + "/1";
        String rest = node.chat(createBody(20, true), "Last-Event-ID", id).body();
        assertFalse(rest.contains("oops") || rest.contains("[DONE]"), rest);
        assertEquals(readError(rest).path("ran").asText(), "unknown", rest);
        first.get(5, TimeUnit.SECONDS);
    }

    /** Guards against a sound worker that counts as failed because it repeats the tokens before the position. */
    @Test
    public void repeatedTokensOfTheSameAnswerAreSkipped() throws Exception {
        decode.closeAfterTokens = BREAK_AFTER;
        decode.faults.put(RequestKind.RESUME, respond(200, toEvents(1, TOKENS, " w") + DONE));
        String answer = node.chat(createBody(TOKENS, true), DEADLINE).body();
        assertEquals(joinText(answer), toText());
        assertEquals(node.placed.size(), 1);
    }

    @DataProvider
    public Object[][] faultyAnswers() {
        return new Object[][] {
            {"an error with status 200", respond(200, "{\"error\":{\"kind\":\"oops\"}}\n\n")},
            {"an empty body", respond(200, "")},
            {"an end without numbers", respond(200, "event: done\ndata: oops\n\n")},
            {"an end with an error", respond(200, "event: done\ndata: {\"error\":{\"kind\":\"oops\"}}\n\n")},
            {"no end", respond(200, toEvents(1, TOKENS, " w"))},
            {"a token without text", respond(200, toEvents(1, TOKENS, " w").replace("text", "oops") + DONE)},
        };
    }

    /** Guards against an empty or shortened answer that looks complete. */
    @Test(dataProvider = "faultyAnswers")
    public void aFaultyAnswerIsReplacedByAnotherAttempt(String name, HttpHandler fault) throws Exception {
        decode.faults.put(RequestKind.DECODE, fault);
        assertWhole(name, node.chat(createBody(TOKENS, true), DEADLINE).body());
    }

    @DataProvider
    public Object[][] faultyStates() {
        String foreign = "{\"attempt\":\"" + "0".repeat(32) + "-1\",\"owner\":\"entry-7.5f\",\"caller\":\"ben#1\","
                + "\"position\":3}";
        return new Object[][] {
            {"an error with status 200", respond(200, "{\"error\":{\"kind\":\"oops\"}}")},
            {"an empty object", respond(200, "{}")},
            {"the state of another attempt", respond(200, foreign)},
            {"status 204", respond(204, "")},
        };
    }

    /** Guards against callers that are sent to a newer connection that does not exist, and memory that is never freed. */
    @Test(dataProvider = "faultyStates")
    public void aFaultyStateIsNoTakeover(String name, HttpHandler fault) throws Exception {
        decode.closeAfterTokens = BREAK_AFTER;
        decode.faults.put(RequestKind.STATUS, fault);
        assertWhole(name, node.chat(createBody(TOKENS, true), DEADLINE).body());
        await(() -> decode.cancelled.size() == 1, 1000, name + ": the attempt was not cancelled");
    }

    /** Guards against callers that are told that a request did not run whose stream is running. */
    @Test(dataProvider = "faultyStates")
    public void aFaultyStateDoesNotProveThatARequestDidNotRun(String name, HttpHandler fault) throws Exception {
        decode.stepMillis = 20;
        CompletableFuture<HttpResponse<String>> first = startStream();
        decode.faults.put(RequestKind.STATUS, fault);
        String id = "d1/" + node.placed.get(0).attempt() + "/0";
        HttpResponse<String> resumed = node.chat(createBody(20, true), "Last-Event-ID", id);
        assertEquals(readError(resumed.body()).path("ran").asText(), "unknown", name + ": " + resumed.body());
        assertTrue(first.get(5, TimeUnit.SECONDS).body().endsWith("data: [DONE]\n\n"));
    }

    private void assertWhole(String name, String answer) {
        assertEquals(joinText(answer), toText(), name + ": " + answer);
        assertTrue(answer.endsWith("data: [DONE]\n\n"), name + ": " + answer);
        assertFalse(answer.contains("oops"), name + ": " + answer);
        assertEquals(node.placed.size(), 2, name);
    }

    private CompletableFuture<HttpResponse<String>> startStream() throws Exception {
        CompletableFuture<HttpResponse<String>> response = TestNode.HTTP.sendAsync(
                node.createRequest("POST", "/v1/chat/completions", createBody(20, true), DEADLINE),
                HttpResponse.BodyHandlers.ofString());
        await(() -> decode.attempts.values().stream().anyMatch(a -> a.position > 1), 2000, "no tokens");
        return response;
    }

    private static JsonNode readError(String body) {
        return Json.tryRead(body).orElseThrow().path("error");
    }

    private static String joinText(String answer) {
        return answer.lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> Json.tryRead(line.substring(6)).orElseThrow())
                .map(chunk -> chunk.at("/choices/0/delta/content").asText())
                .collect(Collectors.joining());
    }

    private static String toText() {
        return IntStream.rangeClosed(1, TOKENS).mapToObj(i -> " w" + i).collect(Collectors.joining());
    }

    private static String toEvents(int from, int to, String prefix) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(i -> "id: " + i + "\nevent: token\ndata: {\"position\":" + i + ",\"text\":\"" + prefix + i
                        + "\"}\n\n")
                .collect(Collectors.joining());
    }

    private static HttpHandler respond(int status, String body) {
        return exchange -> respond(exchange, status, body);
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
    }
}
