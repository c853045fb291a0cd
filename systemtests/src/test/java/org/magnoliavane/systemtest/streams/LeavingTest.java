package org.magnoliavane.systemtest.streams;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.systemtest.ChatStream;
import org.magnoliavane.systemtest.LocalDeployment;
import org.magnoliavane.systemtest.streams.StreamsDeployment.Chat;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against new work on leaving workers, and against requests cut off by a node that stops. */
public final class LeavingTest {
    private static final long NO_NEW_WORK_MILLIS = 3_000;
    private static final long WATCH_MILLIS = 3_000;
    private static final long SEND_EVERY_MILLIS = 100;
    private static final long LIFETIME_MILLIS = 3_000;
    private static final long EXIT_MILLIS = 15_000;

    private StreamsDeployment streams;

    @BeforeClass
    public void start() throws IOException {
        streams = StreamsDeployment.start(3, 2, 3);
        streams.publish("address_lifetime_seconds = 30", "address_lifetime_seconds = 3", 2);
    }

    @AfterClass(alwaysRun = true)
    public void close() {
        if (streams != null) {
            streams.close();
        }
    }

    @Test
    public void leavingWorkersGetNoNewWorkAfterThreeSecondsAndTheirStreamsEndWhole() {
        List<Sent> sent = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            sent.add(send("entry-" + (1 + i % 3), "long " + i, 400));
        }
        sent.forEach(s -> assertTrue(s.stream.awaitTokens(1, 5_000), "no token: " + s.stream.findError()));
        assertTrue(countStarts("decode-1", "decodes_started") > 0, "no stream on the leaving worker");

        long marked = System.nanoTime();
        streams.get().markLeaving("decode-1");
        streams.get().markLeaving("prefill-1");
        sendUntil(marked, NO_NEW_WORK_MILLIS, sent);
        long decodes = countStarts("decode-1", "decodes_started");
        long prefills = countStarts("prefill-1", "prefills_started");
        long others = streams.sumCounter("decode", "decodes_started");
        sendUntil(marked, NO_NEW_WORK_MILLIS + WATCH_MILLIS, sent);
        sent.forEach(s -> StreamsDeployment.assertWhole(s.stream, s.chat));

        long later = streams.sumCounter("decode", "decodes_started") - others;
        System.out.println("leaving workers: " + sent.size() + " whole answers, " + later
                + " decodes started elsewhere later than 3 s after the mark");
        assertEquals(countStarts("decode-1", "decodes_started"), decodes);
        assertEquals(countStarts("prefill-1", "prefills_started"), prefills);
        assertTrue(later > 20, "only " + later + " decodes elsewhere");
    }

    @Test(dependsOnMethods = "leavingWorkersGetNoNewWorkAfterThreeSecondsAndTheirStreamsEndWhole", alwaysRun = true)
    public void stoppedNodeEndsItsStreamsWholeAndServesForTheLifetimeOfItsAddress() throws IOException {
        LocalDeployment deployment = streams.get();
        List<Sent> sent = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            sent.add(send("entry-1", "stopped " + i, 250));
        }
        sent.forEach(s -> assertTrue(s.stream.awaitTokens(3, 5_000), "no token: " + s.stream.findError()));
        assertTrue(isNamedBy("entry-1"), "the node does not name itself");
        long stopped = System.nanoTime();
        deployment.getProcess("entry-1").terminate();
        long goodUntil = LIFETIME_MILLIS;
        while (millisSince(stopped) < goodUntil) {
            long asked = millisSince(stopped);
            if (isNamedBy("entry-2") || isNamedBy("entry-3")) {
                goodUntil = asked + LIFETIME_MILLIS;
            }
            if (millisSince(stopped) < goodUntil) {
                sent.add(send("entry-1", "late " + asked, 10));
            }
            StreamsDeployment.sleep(SEND_EVERY_MILLIS);
        }
        sent.forEach(s -> StreamsDeployment.assertWhole(s.stream, s.chat));
        Optional<Integer> status = deployment.getProcess("entry-1").awaitEnd(EXIT_MILLIS);
        System.out.println("stopped node: " + sent.size() + " whole answers, address good for " + goodUntil
                + " ms after SIGTERM, exit after " + millisSince(stopped) + " ms");
        assertEquals(status, Optional.of(0));
        assertFalse(isNamedBy("entry-2"), "a stopped node is still named");
    }

    private void sendUntil(long since, long millis, List<Sent> sent) {
        while (millisSince(since) < millis) {
            sent.add(send("entry-" + (2 + sent.size() % 2), "short " + sent.size(), 10));
            StreamsDeployment.sleep(SEND_EVERY_MILLIS);
        }
    }

    private Sent send(String node, String text, int tokens) {
        Chat chat = Chat.of(text, "0000e001", tokens).withClass("patient");
        return new Sent(chat, streams.send(node, chat));
    }

    private boolean isNamedBy(String node) throws IOException {
        for (JsonNode address :
                streams.get().getEndpoint(node).get("/v1/addresses").path("addresses")) {
            if (address.path("node").asText().equals("entry-1")) {
                return true;
            }
        }
        return false;
    }

    private long countStarts(String worker, String counter) {
        return streams.getCounters(worker).path(counter).asLong();
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private record Sent(Chat chat, ChatStream stream) {}
}
