package org.magnoliavane.systemtest.streams;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.magnoliavane.systemtest.ChatStream;
import org.magnoliavane.systemtest.streams.StreamsDeployment.Chat;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against a request that takes down one worker after the other while its caller sends it again and again. */
public final class PoisonRequestTest {
    private static final int NODES = 3;
    private static final int MAX_LOST = 2;
    private static final int SENDS = 12;
    private static final int INNOCENTS = 12;
    private static final int INNOCENT_TOKENS = 40;

    private StreamsDeployment streams;

    @BeforeClass
    public void start() throws IOException {
        streams = StreamsDeployment.start(NODES, 4, 4);
    }

    @AfterClass(alwaysRun = true)
    public void close() {
        if (streams != null) {
            streams.close();
        }
    }

    @Test
    public void contentThatCrashesDecodesIsRefusedAfterTwoWorkers() {
        sendPoison("poison-decode", "decode", 1);
    }

    @Test(dependsOnMethods = "contentThatCrashesDecodesIsRefusedAfterTwoWorkers", alwaysRun = true)
    public void contentThatCrashesPrefillsIsRefusedAfterTwoWorkersThoughThreeCopiesAreSentAtOnce() {
        sendPoison("poison-prefill", "prefill", NODES);
    }

    /**
     * Guards against suspicions that die with the coordinator: it is killed when the first worker crashes, and the caller
     * goes on.
     */
    @Test(
            dependsOnMethods = "contentThatCrashesPrefillsIsRefusedAfterTwoWorkersThoughThreeCopiesAreSentAtOnce",
            alwaysRun = true)
    public void contentIsRefusedAfterTwoWorkersThoughTheCoordinatorDiesAtTheFirstCrash() throws IOException {
        replaceLostWorkers();
        String coordinator = streams.getCoordinator();
        List<String> others = streams.get().getNodes().stream()
                .filter(n -> !n.equals(coordinator))
                .toList();
        setMarker("poison-both", "decode");
        long alive = countWorkers();
        Chat poison = Chat.of("lesson poison-both", "0000f002", 20).withClass("patient");
        ChatStream first = streams.send(others.get(0), poison);
        StreamsDeployment.awaitTrue("a worker crashes", 5_000, this::isWorkerDead);
        streams.get().killNode(coordinator);
        List<String> errors = new ArrayList<>();
        errors.add(awaitError(first));
        for (int i = 1; i < SENDS; i++) {
            errors.add(awaitError(streams.send(others.get(i % others.size()), poison)));
        }
        long lost = alive - countWorkers();
        System.out.println("poison while the coordinator dies: " + lost + " workers lost, errors " + errors);
        streams.get().restartNode(coordinator);
        assertTrue(lost <= MAX_LOST, lost + " workers lost");
        assertTrue(errors.get(errors.size() - 1).contains("\"poison\""), errors.toString());
    }

    private boolean isWorkerDead() {
        return Stream.of("prefill", "decode")
                .flatMap(role -> streams.get().getWorkers(role).stream())
                .anyMatch(w -> !streams.get().getProcess(w).isAlive());
    }

    private void replaceLostWorkers() throws IOException {
        for (String role : List.of("prefill", "decode")) {
            for (String worker : streams.get().getWorkers(role)) {
                if (!streams.get().getProcess(worker).isAlive()) {
                    streams.get().replaceWorker(worker);
                }
            }
        }
    }

    private static String awaitError(ChatStream stream) {
        assertTrue(stream.awaitEnd(40_000), "the poison request has no end");
        assertTrue(!stream.isDone(), "the poison request has an answer");
        return stream.getStatus() + " " + stream.findError().orElse("none");
    }

    private void setMarker(String marker, String phase) {
        Stream.concat(streams.workers("prefill"), streams.workers("decode"))
                .forEach(w ->
                        streams.get().getEndpoint(w).control(Map.of("crash_marker", marker, "crash_phase", phase)));
    }

    private void sendPoison(String marker, String phase, int copies) {
        long alive = countWorkers();
        Stream.concat(streams.workers("prefill"), streams.workers("decode"))
                .forEach(w ->
                        streams.get().getEndpoint(w).control(Map.of("crash_marker", marker, "crash_phase", phase)));
        List<Chat> chats = new ArrayList<>();
        List<ChatStream> innocents = new ArrayList<>();
        for (int i = 0; i < INNOCENTS; i++) {
            Chat chat = Chat.of("innocent " + i + " beside " + phase, String.format("%08x", i), INNOCENT_TOKENS)
                    .withClass("patient");
            chats.add(chat);
            innocents.add(streams.send("entry-" + (1 + i % NODES), chat));
        }
        innocents.forEach(i -> assertTrue(i.awaitTokens(1, 5_000), "no token: " + i.findError()));

        Chat poison = Chat.of("lesson " + marker, "0000f001", 20).withClass("patient");
        List<String> errors = new ArrayList<>();
        for (int round = 0; round < SENDS / copies; round++) {
            List<ChatStream> sent = new ArrayList<>();
            for (int i = 0; i < copies; i++) {
                sent.add(streams.send("entry-" + (1 + (round + i) % NODES), poison));
            }
            for (ChatStream stream : sent) {
                errors.add(awaitError(stream));
            }
        }
        long lost = alive - countWorkers();
        System.out.println("poison in " + phase + ": " + lost + " workers lost, first error " + errors.get(0)
                + ", last error " + errors.get(errors.size() - 1));
        assertTrue(lost <= MAX_LOST, lost + " workers lost");
        assertTrue(lost > 0, "the marker crashed no worker");
        String last = errors.get(errors.size() - 1);
        assertTrue(last.contains("\"poison\""), last);
        assertTrue(last.contains("\"ran\":\"no\""), last);
        for (int i = 0; i < INNOCENTS; i++) {
            StreamsDeployment.assertWhole(innocents.get(i), chats.get(i));
        }
        streams.awaitNoMemory(8_000);
        assertEquals(alive - countWorkers(), lost, "a worker was lost after the final refusal");
    }

    private long countWorkers() {
        return streams.workers("prefill").count() + streams.workers("decode").count();
    }
}
