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
import static org.magnoliavane.node.http.TestNode.body;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ChatTest {
    private FakeEngine prefill;
    private FakeEngine decode;
    private FakeEngine spare;
    private TestNode node;

    @BeforeMethod
    public void start() throws Exception {
        prefill = new FakeEngine("p1", WorkerRole.PREFILL);
        decode = new FakeEngine("d1", WorkerRole.DECODE);
        spare = new FakeEngine("d2", WorkerRole.DECODE);
        node = newNode("entry-1");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        node.close();
        prefill.close();
        decode.close();
        spare.close();
    }

    @Test
    public void aWholeAnswerHasUsagePriceAndRequestId() throws Exception {
        HttpResponse<String> response = node.chat(body(5, false));
        assertEquals(response.statusCode(), 200, response.body());
        JsonNode json = Json.read(response.body().getBytes(StandardCharsets.UTF_8));
        assertEquals(json.at("/choices/0/message/content").asText(), words(1, 5));
        assertEquals(json.at("/choices/0/finish_reason").asText(), "stop");
        assertEquals(json.at("/usage/total_tokens").asInt(), 12);
        assertEquals(json.at("/usage/magnoliavane_price_micros").asInt(), 36);
        assertEquals(response.headers().firstValue("Magnoliavane-Price-Micros").orElse(""), "36");
        String id = response.headers().firstValue("Magnoliavane-Request").orElse("");
        assertEquals(json.path("id").asText(), "chatcmpl-" + id);
        assertEquals(
                node.phases(),
                List.of(AttemptPhase.PREFILLED, AttemptPhase.IMPORTED, AttemptPhase.DECODING, AttemptPhase.COMPLETED));
    }

    @Test
    public void aStreamedAnswerHasTheChunksThatClientLibrariesExpect() throws Exception {
        HttpResponse<String> response = node.chat(body(3, true));
        assertEquals(response.headers().firstValue("Content-Type").orElse(""), "text/event-stream");
        List<JsonNode> chunks = chunks(response.body());
        assertEquals(chunks.get(0).at("/choices/0/delta/role").asText(), "assistant");
        assertEquals(chunks.get(0).path("object").asText(), "chat.completion.chunk");
        assertEquals(text(response.body()), words(1, 3));
        assertEquals(chunks.get(4).at("/choices/0/finish_reason").asText(), "stop");
        assertEquals(chunks.get(5).at("/usage/completion_tokens").asInt(), 3);
        assertTrue(response.body().endsWith("data: [DONE]\n\n"));
        String id = response.headers().firstValue("Magnoliavane-Request").orElse("");
        assertTrue(response.body().contains("id: d1/" + id + "-1/3\n"));
    }

    @Test
    public void aRefusalIsAnsweredWithTheTimeToComeBack() throws Exception {
        Fault fault = Fault.notRun(FaultKind.OVERLOADED, "full", "come back").withRetryAfterMillis(1200);
        node.refusal = java.util.Optional.of(fault);
        HttpResponse<String> response = node.chat(body(3, true));
        assertEquals(response.statusCode(), 429);
        assertEquals(response.headers().firstValue("Retry-After").orElse(""), "2");
        JsonNode error =
                Json.read(response.body().getBytes(StandardCharsets.UTF_8)).path("error");
        assertEquals(error.path("ran").asText(), "no");
        assertEquals(error.path("retry_after_millis").asInt(), 1200);
    }

    /** Guards against an answer that mixes two attempts, and against tokens sent twice. */
    @Test
    public void aFailedDecodeIsRepeatedElsewhereWithoutSendingTokensTwice() throws Exception {
        decode.stepMillis = 20;
        CompletableFuture<HttpResponse<String>> response = chatLater(node, body(30, true));
        await(() -> count(AttemptPhase.DECODING) > 0, 2000, "no token");
        decode.close();
        String answer = response.get(5, TimeUnit.SECONDS).body();
        assertEquals(text(answer), words(1, 30));
        assertTrue(answer.endsWith("data: [DONE]\n\n"));
        assertEquals(count(AttemptPhase.DECODE_FAILED), 1);
        assertEquals(node.placed.size(), 2);
    }

    @Test
    public void anAnswerThatDivergesAfterARetryEndsWithAnError() throws Exception {
        decode.stepMillis = 20;
        spare.prefix = " other";
        CompletableFuture<HttpResponse<String>> response = chatLater(node, body(30, true));
        await(() -> count(AttemptPhase.DECODING) > 0, 2000, "no token");
        decode.close();
        String answer = response.get(5, TimeUnit.SECONDS).body();
        assertFalse(answer.contains("[DONE]"));
        List<JsonNode> chunks = chunks(answer);
        JsonNode error = chunks.get(chunks.size() - 1).path("error");
        assertEquals(error.path("ran").asText(), "unknown");
        await(() -> spare.cancelled.size() == 1, 2000, "the second attempt was not cancelled");
    }

    @Test
    public void aRefusalForMemoryLeadsToANewPlacement() throws Exception {
        decode.memoryFull = true;
        assertEquals(text(node.chat(body(3, true)).body()), words(1, 3));
        assertEquals(count(AttemptPhase.MEMORY_REFUSED), 1);
    }

    @Test
    public void aStalledTransferLeadsToANewPlacement() throws Exception {
        decode.stallTransfer = true;
        assertEquals(text(node.chat(body(3, true)).body()), words(1, 3));
        assertEquals(count(AttemptPhase.TRANSFER_FAILED), 1);
        assertTrue(node.placed.get(1).ttftMillis() > 400, "the new attempt has no time left");
        await(() -> decode.cancelled.size() == 1, 2000, "the stalled attempt was not cancelled");
    }

    /** Guards against giving up a healthy worker because one connection went silent. */
    @Test
    public void aSilentConnectionIsReplacedAtItsPosition() throws Exception {
        decode.silentAfter = 4;
        assertEquals(text(node.chat(body(9, true)).body()), words(1, 9));
        assertEquals(node.placed.size(), 1);
    }

    @Test
    public void aBrokenConnectionIsReplacedAtItsPosition() throws Exception {
        decode.breakAfter = 4;
        assertEquals(text(node.chat(body(9, true)).body()), words(1, 9));
        assertEquals(node.placed.size(), 1);
    }

    /** Guards against engine memory that stays held for a caller that left before the first byte. */
    @Test
    public void aCallerThatLeavesDuringThePrefillIsNoticed() throws Exception {
        prefill.prefillMillis = 3000;
        try (Socket socket = send(node, body(5, false), "")) {
            await(() -> prefill.prefills.size() == 1, 2000, "no prefill");
        }
        await(() -> node.withdrawn.size() == 1, 500, "not withdrawn");
        await(() -> prefill.cancelled.contains(node.placed.get(0).attempt()), 500, "not cancelled");
        await(() -> node.callers.countActive() == 0, 500, "still active");
    }

    @Test
    public void aCallerThatLeavesDuringTheDecodeFreesTheEngine() throws Exception {
        decode.stepMillis = 100;
        try (Socket socket = send(node, body(500, false), "")) {
            await(() -> decode.attempts.size() == 1, 2000, "no decode");
        }
        await(() -> decode.cancelled.size() == 1, 1000, "not cancelled");
        assertEquals(node.withdrawn.size(), 1);
    }

    /** Guards against a second request on the connection that disturbs the first one. */
    @Test
    public void bytesThatFollowARequestDoNotDisturbItsAnswer() throws Exception {
        decode.stepMillis = 20;
        String second = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        try (Socket socket = send(node, body(20, false), second)) {
            socket.setSoTimeout(5000);
            String answer = readUntil(socket.getInputStream(), "cached_tokens\":3}}}");
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            assertTrue(answer.contains(words(1, 20)), answer);
            assertFalse(answer.contains("status\":\"ok"), answer);
            assertTrue(answer.contains("Connection: close"), answer);
            assertEquals(socket.getInputStream().read(), -1, "the connection stays open");
        }
    }

    /** Guards against a caller that sends more and then leaves: the close arrives behind unread bytes. */
    @Test
    public void aCallerThatLeavesAfterMoreBytesIsNoticed() throws Exception {
        decode.stepMillis = 100;
        try (Socket socket = send(node, body(500, false), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")) {
            await(() -> decode.attempts.size() == 1, 2000, "no decode");
        }
        await(() -> decode.cancelled.size() == 1, 1000, "not cancelled");
    }

    @Test
    public void aCallerThatDoesNotReadIsEnded() throws Exception {
        decode.stepMillis = 0;
        decode.tokenCharacters = 4000;
        try (Socket socket = send(node, body(6000, true), "")) {
            await(() -> decode.cancelled.size() == 1, 8000, "the stream of a slow caller was not cancelled");
        }
    }

    @Test
    public void aStreamIsResumedAtAnotherNodeAfterThePosition() throws Exception {
        decode.stepMillis = 20;
        try (TestNode other = newNode("entry-2")) {
            CompletableFuture<HttpResponse<String>> first = chatLater(node, body(30, true));
            await(() -> !decode.attempts.isEmpty() && position() > 6, 2000, "no tokens");
            String attempt = node.placed.get(0).attempt();
            String rest = other.chat(body(30, true), "Last-Event-ID", "d1/" + attempt + "/5")
                    .body();
            assertEquals(text(rest), words(6, 30));
            assertTrue(rest.endsWith("data: [DONE]\n\n"));
            assertTrue(rest.contains("id: d1/" + attempt + "/30\n"));
            assertTrue(first.get(5, TimeUnit.SECONDS).body().contains("superseded"));
            assertTrue(decode.cancelled.isEmpty());
            assertEquals(other.reports.get(other.reports.size() - 1).phase(), AttemptPhase.COMPLETED);
        }
    }

    @Test
    public void aStreamIsNotHandedToAnotherCaller() throws Exception {
        decode.stepMillis = 50;
        CompletableFuture<HttpResponse<String>> first = chatLater(node, body(20, true));
        await(() -> !decode.attempts.isEmpty() && position() > 2, 2000, "no tokens");
        String id = "d1/" + node.placed.get(0).attempt() + "/1";
        HttpResponse<String> stolen =
                node.chat(body(20, true), "Last-Event-ID", id, "Authorization", "Bearer " + TestNode.OTHER_KEY);
        assertEquals(stolen.statusCode(), 403);
        String unknown = "d1/" + "0".repeat(32) + "-1/1";
        assertEquals(node.chat(body(20, true), "Last-Event-ID", unknown).statusCode(), 404);
        assertEquals(node.chat(body(20, true), "Last-Event-ID", "d1/../1").statusCode(), 400);
        assertEquals(text(first.get(5, TimeUnit.SECONDS).body()), words(1, 20));
    }

    /** Guards against one briefing that is answered on two connections. */
    @Test
    public void aRepeatedKeyTakesTheRunningAnswerOver() throws Exception {
        decode.stepMillis = 20;
        CompletableFuture<HttpResponse<String>> first = chatLater(node, body(20, true), "Idempotency-Key", "k1");
        await(() -> !decode.attempts.isEmpty() && position() > 3, 2000, "no tokens");
        String second = node.chat(body(20, true), "Idempotency-Key", "\"k1\"").body();
        assertEquals(text(second), words(1, 20));
        String old = first.get(5, TimeUnit.SECONDS).body();
        assertTrue(old.contains("superseded"));
        assertFalse(old.contains("[DONE]"));
        String third = node.chat(body(20, true), "Idempotency-Key", "k1").body();
        assertEquals(text(third), words(1, 20));
        assertEquals(node.placed.size(), 1);
        assertEquals(node.chat(body(21, true), "Idempotency-Key", "k1").statusCode(), 422);
    }

    /** Guards against a repeat that waits for ever on a run whose caller has gone. */
    @Test
    public void aKeyWhoseCallerHasGoneRunsAnew() throws Exception {
        decode.stepMillis = 20;
        CompletableFuture<HttpResponse<String>> first = chatLater(node, body(20, true), "Idempotency-Key", "k1");
        await(() -> !decode.attempts.isEmpty() && position() > 3, 2000, "no tokens");
        first.cancel(true);
        await(() -> decode.cancelled.size() == 1, 2000, "not cancelled");
        assertEquals(text(node.chat(body(20, true), "Idempotency-Key", "k1").body()), words(1, 20));
    }

    @Test
    public void aDeadlineEndsTheWaitAtOnce() throws Exception {
        node.holdPlacements = true;
        long start = System.nanoTime();
        HttpResponse<String> response = node.chat(body(5, false), "Magnoliavane-Deadline-Millis", "200");
        assertEquals(response.statusCode(), 504);
        assertTrue(response.body().contains("\"ran\":\"no\""), response.body());
        assertTrue(System.nanoTime() - start < 1_000_000_000L);
        assertEquals(node.withdrawn.size(), 1);
    }

    @Test
    public void aWaitingStreamGetsComments() throws Exception {
        prefill.prefillMillis = 1800;
        String answer = node.chat(body(2, true)).body();
        assertTrue(answer.contains(": keep-alive\n\n"), answer);
        assertEquals(text(answer), words(1, 2));
    }

    private TestNode newNode(String name) throws Exception {
        TestNode created = new TestNode(name);
        created.servers.addAll(List.of(prefill.describe(), decode.describe(), spare.describe()));
        return created;
    }

    private int position() {
        return decode.attempts.values().iterator().next().position;
    }

    private long count(AttemptPhase phase) {
        return node.phases().stream().filter(p -> p == phase).count();
    }

    private static CompletableFuture<HttpResponse<String>> chatLater(TestNode to, String json, String... headers) {
        return TestNode.HTTP.sendAsync(
                to.request("POST", "/v1/chat/completions", json, headers), HttpResponse.BodyHandlers.ofString());
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

    private static String words(int from, int to) {
        return IntStream.rangeClosed(from, to).mapToObj(i -> " w" + i).collect(Collectors.joining());
    }

    private static List<JsonNode> chunks(String events) {
        return events.lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> Json.tryRead(line.substring(6)).orElseThrow())
                .toList();
    }

    private static String text(String events) {
        return chunks(events).stream()
                .map(chunk -> chunk.at("/choices/0/delta/content").asText())
                .collect(Collectors.joining());
    }
}
