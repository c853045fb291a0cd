package org.magnoliavane.emulator.engine;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.emulator.EmulatorClient;
import org.magnoliavane.emulator.http.Json;
import org.magnoliavane.http.HttpExchange;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.http.ResponseListener;
import org.magnoliavane.http.ServerSentEvent;
import org.magnoliavane.http.ServerSentEventParser;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EngineEmulatorTest {
    private static final String[] FAST = {"--step-base-millis", "2", "--load-lag-millis", "0"};

    private EngineEmulator prefills;
    private EngineEmulator decodes;
    private EmulatorClient client;

    @BeforeMethod
    public void start() throws Exception {
        prefills = EngineEmulator.start("--role", "prefill");
        decodes = EngineEmulator.start("--role", "decode", FAST[0], FAST[1], FAST[2], FAST[3]);
        client = new EmulatorClient();
    }

    @AfterMethod
    public void stop() throws Exception {
        client.close();
        prefills.close();
        decodes.close();
    }

    @Test
    public void aPromptIsPrefilledTransferredAndDecoded() throws Exception {
        Events events = decode("a1", prefill("a1", "hello").get("prefill").asText(), 5);
        await(() -> events.has("done"));
        assertEquals(events.types(), List.of("imported", "token", "token", "token", "token", "token", "done"));
        JsonNode third = Json.parseTree(events.received.get(3).data().getBytes());
        assertEquals(third.get("text").asText(), " w3:" + TokenText.computeCheck("hello"));
        assertEquals(events.received.get(3).id().orElseThrow(), "3");
        assertEquals(load(decodes).get("free_pieces").asInt(), 64);
    }

    @Test
    public void aStreamCanBeResumedAfterItsConnectionWasClosed() throws Exception {
        Events first = decode("a1", prefill("a1", "hello").get("prefill").asText(), 100);
        await(() -> first.has("token"));
        first.exchange.close();
        await(() -> !load(decodes).get("attempts").get(0).get("attached").asBoolean());
        Events second = new Events("GET", "/v1/decodes/a1/events?from=1&owner=entry-2.9", "");
        await(() -> second.has("done"));
        assertEquals(second.received.get(0).id().orElseThrow(), "2");
        assertEquals(second.received.size(), 100);
    }

    @Test
    public void aCancelledAttemptFreesItsMemory() throws Exception {
        Events events = decode("a1", prefill("a1", "hello").get("prefill").asText(), 10_000);
        await(() -> events.has("token"));
        assertTrue(client.fetchJson(decodes, "DELETE", "/v1/attempts/a1", "")
                .get("cancelled")
                .asBoolean());
        await(() -> events.has("error"));
        assertFalse(client.fetchJson(decodes, "DELETE", "/v1/attempts/a1", "")
                .get("cancelled")
                .asBoolean());
        assertEquals(load(decodes).get("free_pieces").asInt(), 64);
        assertEquals(client.sendAndAwait(decodes, "GET", "/v1/decodes/a1", "").status(), 404);
    }

    /** Guards against a prefill that continues after its requester has closed the connection. */
    @Test
    public void aClosedConnectionCancelsThePrefill() throws Exception {
        CompletableFuture<HttpResponse> gone =
                client.send(prefills, "POST", "/v1/prefills", body("a1", "x".repeat(80_000)));
        await(() -> counters(prefills).get("prefills_started").asInt() == 1);
        gone.cancel(true);
        await(() -> counters(prefills).get("prefills_cancelled").asInt() == 1);
        assertEquals(counters(prefills).get("pieces_in_use").asInt(), 0);
    }

    @Test
    public void aTransferFromAnExpiredPrefillOrAStoppedWorkerFails() throws Exception {
        Events expired = decode("a1", "no-such-prefill", 5);
        await(() -> expired.has("error"));
        assertTrue(expired.received.get(0).data().contains("prefill_lapsed"));
        String id = prefill("a2", "hello").get("prefill").asText();
        prefills.close();
        Events stopped = decode("a2", id, 5);
        await(() -> stopped.has("error"));
        assertTrue(stopped.received.get(0).data().contains("transfer_failed"));
        assertEquals(load(decodes).get("free_pieces").asInt(), 64);
    }

    @Test
    public void aPromptWithTheCrashMarkerCrashesTheEngineInTheConfiguredPhase() throws Exception {
        client.sendAndAwait(decodes, "POST", "/control", "{\"crash_marker\":\"boom\",\"crash_phase\":\"decode\"}");
        Events events = decode("a1", prefill("a1", "boom").get("prefill").asText(), 5);
        await(() -> events.failed);
        assertFalse(events.has("token"));
        await(() -> isUnreachable(decodes));
    }

    @Test
    public void aFrozenEngineRespondsOnlyAfterTheFreeze() throws Exception {
        client.sendAndAwait(decodes, "POST", "/control", "{\"freeze_millis\":400}");
        CompletableFuture<HttpResponse> load = client.send(decodes, "GET", "/v1/load", "");
        Thread.sleep(150);
        assertFalse(load.isDone());
        assertEquals(load.get(3, TimeUnit.SECONDS).status(), 200);
    }

    /** Guards against an engine that removes a stream because its connection is unresponsive. */
    @Test
    public void aStreamOnAnUnresponsiveConnectionCanBeResumedOnANewOne() throws Exception {
        Events first = decode("a1", prefill("a1", "hello").get("prefill").asText(), 50);
        await(() -> first.has("token"));
        client.sendAndAwait(decodes, "POST", "/control", "{\"silent\":true}");
        Thread.sleep(300);
        assertFalse(first.has("done"));
        assertFalse(first.failed);
        Events second = new Events("GET", "/v1/decodes/a1/events?from=0", "");
        await(() -> second.has("done"));
        assertEquals(second.received.size(), 51);
    }

    private JsonNode prefill(String attempt, String prompt) throws Exception {
        return client.fetchJson(prefills, "POST", "/v1/prefills", body(attempt, prompt));
    }

    private static String body(String attempt, String prompt) {
        return "{\"attempt\":\"" + attempt + "\",\"model\":\"model-a\",\"prompt\":\"" + prompt + "\"}";
    }

    private Events decode(String attempt, String prefill, int maxTokens) {
        return new Events(
                "POST",
                "/v1/decodes",
                "{\"attempt\":\"" + attempt + "\",\"model\":\"model-a\",\"max_tokens\":" + maxTokens
                        + ",\"reserve_pieces\":2,\"owner\":\"entry-1.7\",\"caller\":\"c\",\"prefill\":"
                        + "{\"host\":\"127.0.0.1\",\"port\":" + prefills.getPort() + ",\"id\":\"" + prefill + "\"}}");
    }

    private JsonNode load(EngineEmulator engine) {
        return get(engine, "/v1/load");
    }

    private JsonNode counters(EngineEmulator engine) {
        return get(engine, "/control/counters");
    }

    private JsonNode get(EngineEmulator engine, String path) {
        try {
            return client.fetchJson(engine, "GET", path, "");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean isUnreachable(EngineEmulator engine) {
        try {
            client.sendAndAwait(engine, "GET", "/v1/load", "");
            return false;
        } catch (Exception e) {
            return true;
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
            Thread.sleep(10);
        }
        assertTrue(condition.getAsBoolean(), "condition not met within 5 s");
    }

    /** Collects the events of a stream. */
    private final class Events implements ResponseListener {
        final List<ServerSentEvent> received = new CopyOnWriteArrayList<>();
        final HttpExchange exchange;
        volatile boolean failed;
        private final ServerSentEventParser parser = new ServerSentEventParser(received::add);

        Events(String method, String path, String body) {
            HttpRequest request = EmulatorClient.createRequest(decodes, method, path, body);
            exchange = client.getHttp().stream(request, this);
        }

        boolean has(String type) {
            return types().contains(type);
        }

        List<String> types() {
            return received.stream().map(ServerSentEvent::event).toList();
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            assertEquals(status, 200);
        }

        @Override
        public void onBytes(byte[] bytes) {
            parser.feed(bytes);
        }

        @Override
        public void onEnd() {
            // The last event shows how the stream ended.
        }

        @Override
        public void onFailure(IOException cause) {
            failed = true;
        }
    }
}
