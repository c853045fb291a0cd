package org.magnoliavane.emulator.log;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.emulator.EmulatorClient;
import org.magnoliavane.emulator.http.Json;
import org.magnoliavane.http.HttpResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

public class LogEmulatorTest {
    private static final String RECORDS = "/v1/streams/claims/records";

    private LogEmulator log;
    private EmulatorClient client;

    @BeforeMethod
    public void start() throws Exception {
        log = LogEmulator.start();
        client = new EmulatorClient();
    }

    @AfterMethod
    public void stop() throws Exception {
        client.close();
        log.close();
    }

    @Test
    public void recordsAreReadInOffsetOrderWithTheirBytes() throws Exception {
        assertEquals(append("one").get("offset").asLong(), 0);
        assertEquals(append("two").get("offset").asLong(), 1);
        JsonNode page = client.fetchJson(log, "GET", RECORDS + "?from=1&limit=10", "");
        assertEquals(page.get("first_offset").asLong(), 0);
        assertEquals(page.get("next_offset").asLong(), 2);
        assertEquals(page.get("records").size(), 1);
        assertEquals(new String(page.get("records").get(0).get("data").binaryValue()), "two");
    }

    /** Guards against an emulator that cannot produce an append that took effect without a response. */
    @Test
    public void anAppendWithALostResponseTakesEffect() throws Exception {
        control("{\"lose_answers\":true}");
        CompletableFuture<HttpResponse> lost = client.send(log, "POST", RECORDS, "claim");
        expectThrows(ExecutionException.class, () -> lost.get(5, TimeUnit.SECONDS));
        assertEquals(client.fetchJson(log, "GET", RECORDS, "").get("records").size(), 1);
    }

    @Test
    public void aReadOfARemovedOffsetFailsWithTheFirstRetainedOffset() throws Exception {
        append("old");
        control("{\"retain_millis\":50}");
        Thread.sleep(100);
        append("new");
        HttpResponse removed = client.sendAndAwait(log, "GET", RECORDS + "?from=0", "");
        assertEquals(removed.status(), 410);
        assertEquals(Json.parseTree(removed.body()).get("first_offset").asLong(), 1);
    }

    @Test
    public void aLongPollEndsWithTheNextRecord() throws Exception {
        CompletableFuture<HttpResponse> poll = client.send(log, "GET", RECORDS + "?from=0&wait_millis=4000", "");
        Thread.sleep(100);
        assertFalse(poll.isDone());
        append("awaited");
        JsonNode page = Json.parseTree(poll.get(2, TimeUnit.SECONDS).body());
        assertEquals(page.get("records").size(), 1);
    }

    @Test
    public void anOutageFailsAppendsAndLongPolls() throws Exception {
        CompletableFuture<HttpResponse> poll = client.send(log, "GET", RECORDS + "?wait_millis=4000", "");
        Thread.sleep(100);
        control("{\"outage\":true}");
        assertEquals(poll.get(2, TimeUnit.SECONDS).status(), 503);
        assertEquals(client.sendAndAwait(log, "POST", RECORDS, "x").status(), 503);
        control("{\"outage\":false}");
        assertEquals(client.fetchJson(log, "GET", RECORDS, "").get("records").size(), 0);
    }

    @Test
    public void appendsAboveTheRateAreRejected() {
        AppendRateLimiter limit = new AppendRateLimiter(500, 0);
        int accepted = 0;
        for (int millis = 0; millis < 1000; millis++) {
            accepted += limit.tryAcquire(millis) ? 1 : 0;
        }
        assertTrue(accepted >= 500 && accepted <= 550, "accepted " + accepted);
    }

    /** Guards against a misspelt fault in a test, which would be ignored and not take effect. */
    @Test
    public void anUnknownFaultIsRejected() throws Exception {
        assertEquals(
                client.sendAndAwait(log, "POST", "/control", "{\"outrage\":true}")
                        .status(),
                400);
    }

    /** Guards against a fault that also makes connections unresponsive that are opened later. */
    @Test
    public void anUnresponsiveConnectionStaysOpenWhileNewOnesWork() throws Exception {
        CompletableFuture<HttpResponse> poll = client.send(log, "GET", RECORDS + "?wait_millis=200", "");
        Thread.sleep(100);
        control("{\"silent\":true}");
        append("new connection");
        Thread.sleep(300);
        assertFalse(poll.isDone());
    }

    private JsonNode append(String text) throws Exception {
        return client.fetchJson(log, "POST", RECORDS, text);
    }

    private void control(String faults) throws Exception {
        assertEquals(client.sendAndAwait(log, "POST", "/control", faults).status(), 200);
    }
}
