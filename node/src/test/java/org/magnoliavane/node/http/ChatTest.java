package org.magnoliavane.node.http;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.json.Json;
import org.magnoliavane.pool.AttemptPhase;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.magnoliavane.node.http.TestNode.await;
import static org.magnoliavane.node.http.TestNode.createBody;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ChatTest {
    private FakeEngine prefill;
    private FakeEngine decode;
    private FakeEngine otherDecode;
    private TestNode node;

    @BeforeMethod
    public void start() throws Exception {
        prefill = new FakeEngine("p1", WorkerRole.PREFILL);
        decode = new FakeEngine("d1", WorkerRole.DECODE);
        otherDecode = new FakeEngine("d2", WorkerRole.DECODE);
        node = newNode("entry-1");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        node.close();
        prefill.close();
        decode.close();
        otherDecode.close();
    }

    @Test
    public void aCompleteResponseHasUsagePriceAndRequestId() throws Exception {
        HttpResponse<String> response = node.chat(createBody(5, false));
        assertEquals(response.statusCode(), 200, response.body());
        JsonNode json = Json.read(response.body().getBytes(StandardCharsets.UTF_8));
        assertEquals(json.at("/choices/0/message/content").asText(), createText(1, 5));
        assertEquals(json.at("/choices/0/finish_reason").asText(), "stop");
        assertEquals(json.at("/usage/total_tokens").asInt(), 12);
        assertEquals(json.at("/usage/magnoliavane_price_micros").asInt(), 36);
        assertEquals(response.headers().firstValue("Magnoliavane-Price-Micros").orElse(""), "36");
        String id = response.headers().firstValue("Magnoliavane-Request").orElse("");
        assertEquals(json.path("id").asText(), "chatcmpl-" + id);
        assertEquals(
                node.getPhases(),
                List.of(AttemptPhase.PREFILLED, AttemptPhase.IMPORTED, AttemptPhase.DECODING, AttemptPhase.COMPLETED));
    }

    @Test
    public void aStreamedResponseHasTheChunksThatClientLibrariesExpect() throws Exception {
        HttpResponse<String> response = node.chat(createBody(3, true));
        assertEquals(response.headers().firstValue("Content-Type").orElse(""), "text/event-stream");
        List<JsonNode> chunks = parseChunks(response.body());
        assertEquals(chunks.get(0).at("/choices/0/delta/role").asText(), "assistant");
        assertEquals(chunks.get(0).path("object").asText(), "chat.completion.chunk");
        assertEquals(joinText(response.body()), createText(1, 3));
        assertEquals(chunks.get(4).at("/choices/0/finish_reason").asText(), "stop");
        assertEquals(chunks.get(5).at("/usage/completion_tokens").asInt(), 3);
        assertTrue(response.body().endsWith("data: [DONE]\n\n"));
        String id = response.headers().firstValue("Magnoliavane-Request").orElse("");
        assertTrue(response.body().contains("id: d1/" + id + "-1/3\n"));
    }

    @Test
    public void aRefusalStatesWhenToRetry() throws Exception {
        Fault fault = Fault.notRun(FaultKind.OVERLOADED, "full", "come back").withRetryAfterMillis(1200);
        node.refusal = java.util.Optional.of(fault);
        HttpResponse<String> response = node.chat(createBody(3, true));
        assertEquals(response.statusCode(), 429);
        assertEquals(response.headers().firstValue("Retry-After").orElse(""), "2");
        JsonNode error =
                Json.read(response.body().getBytes(StandardCharsets.UTF_8)).path("error");
        assertEquals(error.path("ran").asText(), "no");
        assertEquals(error.path("retry_after_millis").asInt(), 1200);
    }

    /** Guards against an answer with tokens of two attempts, and against tokens that are sent twice. */
    @Test
    public void aFailedDecodeIsRetriedOnAnotherWorkerWithoutDuplicateTokens() throws Exception {
        decode.stepMillis = 20;
        CompletableFuture<HttpResponse<String>> response = chatAsync(node, createBody(30, true));
        await(() -> countReports(AttemptPhase.DECODING) > 0, 2000, "no token");
        decode.close();
        String answer = response.get(5, TimeUnit.SECONDS).body();
        assertEquals(joinText(answer), createText(1, 30));
        assertTrue(answer.endsWith("data: [DONE]\n\n"));
        assertEquals(countReports(AttemptPhase.DECODE_FAILED), 1);
        assertEquals(node.placed.size(), 2);
    }

    @Test
    public void anAnswerThatDivergesAfterARetryEndsWithAnError() throws Exception {
        decode.stepMillis = 20;
        otherDecode.tokenPrefix = " other";
        CompletableFuture<HttpResponse<String>> response = chatAsync(node, createBody(30, true));
        await(() -> countReports(AttemptPhase.DECODING) > 0, 2000, "no token");
        decode.close();
        String answer = response.get(5, TimeUnit.SECONDS).body();
        assertFalse(answer.contains("[DONE]"));
        List<JsonNode> chunks = parseChunks(answer);
        JsonNode error = chunks.get(chunks.size() - 1).path("error");
        assertEquals(error.path("ran").asText(), "unknown");
        await(() -> otherDecode.cancelled.size() == 1, 2000, "the second attempt was not cancelled");
    }

    @Test
    public void aRefusalForMemoryLeadsToANewPlacement() throws Exception {
        decode.memoryFull = true;
        assertEquals(joinText(node.chat(createBody(3, true)).body()), createText(1, 3));
        assertEquals(countReports(AttemptPhase.MEMORY_REFUSED), 1);
    }

    @Test
    public void aStalledTransferLeadsToANewPlacement() throws Exception {
        decode.stallTransfer = true;
        assertEquals(joinText(node.chat(createBody(3, true)).body()), createText(1, 3));
        assertEquals(countReports(AttemptPhase.TRANSFER_FAILED), 1);
        assertTrue(node.placed.get(1).ttftMillis() > 400, "the new attempt has no time left");
        await(() -> decode.cancelled.size() == 1, 2000, "the stalled attempt was not cancelled");
    }

    /** Guards against considering a healthy worker failed because one connection is unresponsive. */
    @Test
    public void anUnresponsiveConnectionIsReplacedAtItsPosition() throws Exception {
        decode.stallAfterTokens = 4;
        assertEquals(joinText(node.chat(createBody(9, true)).body()), createText(1, 9));
        assertEquals(node.placed.size(), 1);
    }

    @Test
    public void aClosedConnectionIsReplacedAtItsPosition() throws Exception {
        decode.closeAfterTokens = 4;
        assertEquals(joinText(node.chat(createBody(9, true)).body()), createText(1, 9));
        assertEquals(node.placed.size(), 1);
    }

    /** Guards against engine memory that stays reserved after a caller has disconnected before the first byte. */
    @Test
    public void aDisconnectDuringThePrefillCancelsTheRequest() throws Exception {
        prefill.prefillMillis = 3000;
        try (Socket socket = send(node, createBody(5, false), "")) {
            await(() -> prefill.prefills.size() == 1, 2000, "no prefill");
        }
        await(() -> node.withdrawn.size() == 1, 500, "not withdrawn");
        await(() -> prefill.cancelled.contains(node.placed.get(0).attempt()), 500, "not cancelled");
        await(() -> node.callers.getActiveRequestCount() == 0, 500, "still active");
    }

    @Test
    public void aDisconnectDuringTheDecodeCancelsTheAttempt() throws Exception {
        decode.stepMillis = 100;
        try (Socket socket = send(node, createBody(500, false), "")) {
            await(() -> decode.attempts.size() == 1, 2000, "no decode");
        }
        await(() -> decode.cancelled.size() == 1, 1000, "not cancelled");
        assertEquals(node.withdrawn.size(), 1);
    }

    /** Guards against a second request on the connection that corrupts the response to the first one. */
    @Test
    public void bytesThatFollowARequestDoNotAffectItsResponse() throws Exception {
        decode.stepMillis = 20;
        String second = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        try (Socket socket = send(node, createBody(20, false), second)) {
            socket.setSoTimeout(5000);
            String answer = readUntil(socket.getInputStream(), "cached_tokens\":3}}}");
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            assertTrue(answer.contains(createText(1, 20)), answer);
            assertFalse(answer.contains("status\":\"ok"), answer);
            assertTrue(answer.contains("Connection: close"), answer);
            assertEquals(socket.getInputStream().read(), -1, "the connection stays open");
        }
    }

    /** Guards against a disconnect that is not detected because the close arrives after unread bytes. */
    @Test
    public void aDisconnectAfterUnreadBytesIsDetected() throws Exception {
        decode.stepMillis = 100;
        try (Socket socket = send(node, createBody(500, false), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")) {
            await(() -> decode.attempts.size() == 1, 2000, "no decode");
        }
        await(() -> decode.cancelled.size() == 1, 1000, "not cancelled");
    }

    @Test
    public void theStreamOfACallerThatDoesNotReadIsCancelled() throws Exception {
        decode.stepMillis = 0;
        decode.tokenCharacters = 4000;
        try (Socket socket = send(node, createBody(6000, true), "")) {
            await(() -> decode.cancelled.size() == 1, 8000, "the stream of a slow caller was not cancelled");
        }
    }

    @Test
    public void aStreamIsResumedAtAnotherNodeAfterThePosition() throws Exception {
        decode.stepMillis = 20;
        try (TestNode other = newNode("entry-2")) {
            CompletableFuture<HttpResponse<String>> first = chatAsync(node, createBody(30, true));
            await(() -> !decode.attempts.isEmpty() && getPosition() > 6, 2000, "no tokens");
            String attempt = node.placed.get(0).attempt();
            String rest = other.chat(createBody(30, true), "Last-Event-ID", "d1/" + attempt + "/5")
                    .body();
            assertEquals(joinText(rest), createText(6, 30));
            assertTrue(rest.endsWith("data: [DONE]\n\n"));
            assertTrue(rest.contains("id: d1/" + attempt + "/30\n"));
            assertTrue(first.get(5, TimeUnit.SECONDS).body().contains("superseded"));
            assertTrue(decode.cancelled.isEmpty());
            assertEquals(other.reports.get(other.reports.size() - 1).phase(), AttemptPhase.COMPLETED);
        }
    }

    @Test
    public void aStreamCannotBeResumedByAnotherCaller() throws Exception {
        decode.stepMillis = 50;
        CompletableFuture<HttpResponse<String>> first = chatAsync(node, createBody(20, true));
        await(() -> !decode.attempts.isEmpty() && getPosition() > 2, 2000, "no tokens");
        String id = "d1/" + node.placed.get(0).attempt() + "/1";
        HttpResponse<String> stolen =
                node.chat(createBody(20, true), "Last-Event-ID", id, "Authorization", "Bearer " + TestNode.OTHER_KEY);
        assertEquals(stolen.statusCode(), 403);
        String unknown = "d1/" + "0".repeat(32) + "-1/1";
        assertEquals(node.chat(createBody(20, true), "Last-Event-ID", unknown).statusCode(), 404);
        assertEquals(node.chat(createBody(20, true), "Last-Event-ID", "d1/../1").statusCode(), 400);
        assertEquals(joinText(first.get(5, TimeUnit.SECONDS).body()), createText(1, 20));
    }

    /** Guards against an answer that is sent on two connections. */
    @Test
    public void aRequestWithTheSameKeyTakesOverTheRunningAnswer() throws Exception {
        decode.stepMillis = 20;
        CompletableFuture<HttpResponse<String>> first = chatAsync(node, createBody(20, true), "Idempotency-Key", "k1");
        await(() -> !decode.attempts.isEmpty() && getPosition() > 3, 2000, "no tokens");
        String second =
                node.chat(createBody(20, true), "Idempotency-Key", "\"k1\"").body();
        assertEquals(joinText(second), createText(1, 20));
        String old = first.get(5, TimeUnit.SECONDS).body();
        assertTrue(old.contains("superseded"));
        assertFalse(old.contains("[DONE]"));
        String third = node.chat(createBody(20, true), "Idempotency-Key", "k1").body();
        assertEquals(joinText(third), createText(1, 20));
        assertEquals(node.placed.size(), 1);
        assertEquals(node.chat(createBody(21, true), "Idempotency-Key", "k1").statusCode(), 422);
    }

    /** Guards against a repeated request that waits forever for a run whose caller has disconnected. */
    @Test
    public void aKeyWhoseCallerDisconnectedIsExecutedAgain() throws Exception {
        decode.stepMillis = 20;
        CompletableFuture<HttpResponse<String>> first = chatAsync(node, createBody(20, true), "Idempotency-Key", "k1");
        await(() -> !decode.attempts.isEmpty() && getPosition() > 3, 2000, "no tokens");
        first.cancel(true);
        await(() -> decode.cancelled.size() == 1, 2000, "not cancelled");
        assertEquals(
                joinText(
                        node.chat(createBody(20, true), "Idempotency-Key", "k1").body()),
                createText(1, 20));
    }

    @Test
    public void aRequestFailsWhenItsDeadlineIsReached() throws Exception {
        node.blockPlacements = true;
        long start = System.nanoTime();
        HttpResponse<String> response = node.chat(createBody(5, false), "Magnoliavane-Deadline-Millis", "200");
        assertEquals(response.statusCode(), 504);
        assertTrue(response.body().contains("\"ran\":\"no\""), response.body());
        assertTrue(System.nanoTime() - start < 1_000_000_000L);
        assertEquals(node.withdrawn.size(), 1);
    }

    @Test
    public void aWaitingStreamReceivesKeepAliveComments() throws Exception {
        prefill.prefillMillis = 1800;
        String answer = node.chat(createBody(2, true)).body();
        assertTrue(answer.contains(": keep-alive\n\n"), answer);
        assertEquals(joinText(answer), createText(1, 2));
    }

    private TestNode newNode(String name) throws Exception {
        TestNode created = new TestNode(name);
        created.servers.addAll(
                List.of(prefill.toBackendServer(), decode.toBackendServer(), otherDecode.toBackendServer()));
        return created;
    }

    private int getPosition() {
        return decode.attempts.values().iterator().next().position;
    }

    private long countReports(AttemptPhase phase) {
        return node.getPhases().stream().filter(p -> p == phase).count();
    }

    private static CompletableFuture<HttpResponse<String>> chatAsync(TestNode to, String json, String... headers) {
        return TestNode.HTTP.sendAsync(
                to.createRequest("POST", "/v1/chat/completions", json, headers), HttpResponse.BodyHandlers.ofString());
    }

    private static Socket send(TestNode to, String json, String more) throws Exception {
        Socket socket = new Socket("127.0.0.1", to.callers.getPort());
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + TestNode.KEY
                + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        OutputStream out = socket.getOutputStream();
        out.write(head.getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.flush();
        if (!more.isEmpty()) {
            Thread.sleep(100);
            out.write(more.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        return socket;
    }

    private static String readUntil(InputStream in, String end) throws Exception {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int next = in.read();
            if (next < 0) {
                break;
            }
            text.append((char) next);
        }
        return text.toString();
    }

    private static String createText(int from, int to) {
        return IntStream.rangeClosed(from, to).mapToObj(i -> " w" + i).collect(Collectors.joining());
    }

    private static List<JsonNode> parseChunks(String events) {
        return events.lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> Json.tryRead(line.substring(6)).orElseThrow())
                .toList();
    }

    private static String joinText(String events) {
        return parseChunks(events).stream()
                .map(chunk -> chunk.at("/choices/0/delta/content").asText())
                .collect(Collectors.joining());
    }
}
