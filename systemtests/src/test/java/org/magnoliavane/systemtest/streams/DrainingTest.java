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

/** Tests that draining workers get no new work and that a node that shuts down ends its requests regularly. */
public final class DrainingTest {
    private static final long MAX_DRAIN_NOTICE_MILLIS = 3_000;
    private static final long OBSERVATION_MILLIS = 3_000;
    private static final long SEND_INTERVAL_MILLIS = 100;
    private static final long ADDRESS_LIFETIME_MILLIS = 3_000;
    private static final long EXIT_TIMEOUT_MILLIS = 15_000;

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
    public void drainingWorkersGetNoNewWorkAfterThreeSecondsAndCompleteTheirStreams() {
        List<SentChat> sent = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            sent.add(send("entry-" + (1 + i % 3), "long " + i, 400));
        }
        sent.forEach(s -> assertTrue(s.stream.awaitTokens(1, 5_000), "no token: " + s.stream.findError()));
        assertTrue(countStarts("decode-1", "decodes_started") > 0, "no stream on the worker to be drained");

        long markedNanos = System.nanoTime();
        streams.getDeployment().markLeaving("decode-1");
        streams.getDeployment().markLeaving("prefill-1");
        sendUntil(markedNanos, MAX_DRAIN_NOTICE_MILLIS, sent);
        long decodes = countStarts("decode-1", "decodes_started");
        long prefills = countStarts("prefill-1", "prefills_started");
        long others = streams.sumCounter("decode", "decodes_started");
        sendUntil(markedNanos, MAX_DRAIN_NOTICE_MILLIS + OBSERVATION_MILLIS, sent);
        sent.forEach(s -> StreamsDeployment.assertComplete(s.stream, s.chat));

        long later = streams.sumCounter("decode", "decodes_started") - others;
        System.out.println("draining workers: " + sent.size() + " complete answers, " + later
                + " decodes started elsewhere more than 3 s after the state changed");
        assertEquals(countStarts("decode-1", "decodes_started"), decodes);
        assertEquals(countStarts("prefill-1", "prefills_started"), prefills);
        assertTrue(later > 20, "only " + later + " decodes elsewhere");
    }

    @Test(dependsOnMethods = "drainingWorkersGetNoNewWorkAfterThreeSecondsAndCompleteTheirStreams", alwaysRun = true)
    public void terminatedNodeCompletesItsStreamsAndServesForTheLifetimeOfItsAddress() throws IOException {
        LocalDeployment deployment = streams.getDeployment();
        List<SentChat> sent = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            sent.add(send("entry-1", "stopped " + i, 250));
        }
        sent.forEach(s -> assertTrue(s.stream.awaitTokens(3, 5_000), "no token: " + s.stream.findError()));
        assertTrue(isEntryOneListedBy("entry-1"), "the node does not list itself");
        long terminated = System.nanoTime();
        deployment.getProcess("entry-1").terminate();
        long validUntilMillis = ADDRESS_LIFETIME_MILLIS;
        while (millisSince(terminated) < validUntilMillis) {
            long askedMillis = millisSince(terminated);
            if (isEntryOneListedBy("entry-2") || isEntryOneListedBy("entry-3")) {
                validUntilMillis = askedMillis + ADDRESS_LIFETIME_MILLIS;
            }
            if (millisSince(terminated) < validUntilMillis) {
                sent.add(send("entry-1", "late " + askedMillis, 10));
            }
            StreamsDeployment.sleep(SEND_INTERVAL_MILLIS);
        }
        sent.forEach(s -> StreamsDeployment.assertComplete(s.stream, s.chat));
        Optional<Integer> status = deployment.getProcess("entry-1").awaitExit(EXIT_TIMEOUT_MILLIS);
        System.out.println("terminated node: " + sent.size() + " complete answers, address valid for "
                + validUntilMillis + " ms after SIGTERM, exit after " + millisSince(terminated) + " ms");
        assertEquals(status, Optional.of(0));
        assertFalse(isEntryOneListedBy("entry-2"), "a terminated node is still listed");
    }

    private void sendUntil(long since, long millis, List<SentChat> sent) {
        while (millisSince(since) < millis) {
            sent.add(send("entry-" + (2 + sent.size() % 2), "short " + sent.size(), 10));
            StreamsDeployment.sleep(SEND_INTERVAL_MILLIS);
        }
    }

    private SentChat send(String node, String text, int tokens) {
        Chat chat = Chat.of(text, "0000e001", tokens).withClass("patient");
        return new SentChat(chat, streams.send(node, chat));
    }

    private boolean isEntryOneListedBy(String node) throws IOException {
        for (JsonNode address : streams.getDeployment()
                .getEndpoint(node)
                .getJson("/v1/addresses")
                .path("addresses")) {
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

    private record SentChat(Chat chat, ChatStream stream) {}
}
