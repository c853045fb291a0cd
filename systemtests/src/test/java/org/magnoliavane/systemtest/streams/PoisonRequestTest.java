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

/**
 * Tests that a request content that crashes workers is rejected after two crashes, however often its callers repeat it.
 */
public final class PoisonRequestTest {
    private static final int NODES = 3;
    private static final int MAX_LOST_WORKERS = 2;
    private static final int POISON_REQUESTS = 12;
    private static final int UNRELATED_CHATS = 12;
    private static final int UNRELATED_CHAT_TOKENS = 40;

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
    public void contentThatCrashesDecodesIsRejectedAfterTwoWorkers() {
        verifyPoisonContained("poison-decode", "decode", 1);
    }

    @Test(dependsOnMethods = "contentThatCrashesDecodesIsRejectedAfterTwoWorkers", alwaysRun = true)
    public void contentThatCrashesPrefillsIsRejectedAfterTwoWorkersWhenThreeCopiesAreSentAtOnce() {
        verifyPoisonContained("poison-prefill", "prefill", NODES);
    }

    /**
     * Tests that the suspicion outlives the coordinator, which is killed when the first worker crashes while the caller
     * continues to send.
     */
    @Test(
            dependsOnMethods = "contentThatCrashesPrefillsIsRejectedAfterTwoWorkersWhenThreeCopiesAreSentAtOnce",
            alwaysRun = true)
    public void contentIsRejectedAfterTwoWorkersWhenTheCoordinatorIsKilledAtTheFirstCrash() throws IOException {
        verifyPoisonContainedWhileTheCoordinatorIsKilled("poison-both", "0000f002", 1);
    }

    /** Guards against a third lost worker when the coordinator is killed with its knowledge of the second crash. */
    @Test(
            dependsOnMethods = "contentIsRejectedAfterTwoWorkersWhenTheCoordinatorIsKilledAtTheFirstCrash",
            alwaysRun = true)
    public void contentIsRejectedAfterTwoWorkersWhenTheCoordinatorIsKilledAtTheSecondCrash() throws IOException {
        verifyPoisonContainedWhileTheCoordinatorIsKilled("poison-second", "0000f003", 2);
    }

    private void verifyPoisonContainedWhileTheCoordinatorIsKilled(String marker, String id, int crashes)
            throws IOException {
        replaceLostWorkers();
        String coordinator = streams.getCoordinator();
        List<String> others = streams.getDeployment().getNodes().stream()
                .filter(n -> !n.equals(coordinator))
                .toList();
        setCrashMarker(marker, "decode");
        long alive = countWorkers();
        Chat poison = Chat.of("lesson " + marker, id, 20).withClass("patient");
        ChatStream first = streams.send(others.get(0), poison);
        StreamsDeployment.awaitTrue(crashes + " workers crash", 5_000, () -> countDeadWorkers() >= crashes);
        streams.getDeployment().killNode(coordinator);
        List<String> errors = new ArrayList<>();
        errors.add(awaitError(first));
        for (int i = 1; i < POISON_REQUESTS; i++) {
            errors.add(awaitError(streams.send(others.get(i % others.size()), poison)));
        }
        long lost = alive - countWorkers();
        System.out.println("poison while the coordinator is killed: " + lost + " workers lost, errors " + errors);
        streams.getDeployment().restartNode(coordinator);
        assertTrue(lost <= MAX_LOST_WORKERS, lost + " workers lost");
        assertTrue(errors.get(errors.size() - 1).contains("\"poison\""), errors.toString());
    }

    private long countDeadWorkers() {
        return Stream.of("prefill", "decode")
                .flatMap(role -> streams.getDeployment().getWorkers(role).stream())
                .filter(w -> !streams.getDeployment().getProcess(w).isAlive())
                .count();
    }

    private void replaceLostWorkers() throws IOException {
        for (String role : List.of("prefill", "decode")) {
            for (String worker : streams.getDeployment().getWorkers(role)) {
                if (!streams.getDeployment().getProcess(worker).isAlive()) {
                    streams.getDeployment().replaceWorker(worker);
                }
            }
        }
    }

    private static String awaitError(ChatStream stream) {
        assertTrue(stream.awaitEnd(40_000), "the poison request did not end in time");
        assertTrue(!stream.isDone(), "the poison request was answered");
        return stream.getStatus() + " " + stream.findError().orElse("none");
    }

    private void setCrashMarker(String marker, String phase) {
        Stream.concat(streams.streamRunningWorkers("prefill"), streams.streamRunningWorkers("decode"))
                .forEach(w -> streams.getDeployment()
                        .getEndpoint(w)
                        .setFaults(Map.of("crash_marker", marker, "crash_phase", phase)));
    }

    private void verifyPoisonContained(String marker, String phase, int copies) {
        long alive = countWorkers();
        Stream.concat(streams.streamRunningWorkers("prefill"), streams.streamRunningWorkers("decode"))
                .forEach(w -> streams.getDeployment()
                        .getEndpoint(w)
                        .setFaults(Map.of("crash_marker", marker, "crash_phase", phase)));
        List<Chat> chats = new ArrayList<>();
        List<ChatStream> unrelated = new ArrayList<>();
        for (int i = 0; i < UNRELATED_CHATS; i++) {
            Chat chat = Chat.of("innocent " + i + " beside " + phase, String.format("%08x", i), UNRELATED_CHAT_TOKENS)
                    .withClass("patient");
            chats.add(chat);
            unrelated.add(streams.send("entry-" + (1 + i % NODES), chat));
        }
        unrelated.forEach(s -> assertTrue(s.awaitTokens(1, 5_000), "no token: " + s.findError()));

        Chat poison = Chat.of("lesson " + marker, "0000f001", 20).withClass("patient");
        List<String> errors = new ArrayList<>();
        for (int round = 0; round < POISON_REQUESTS / copies; round++) {
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
        assertTrue(lost <= MAX_LOST_WORKERS, lost + " workers lost");
        assertTrue(lost > 0, "the marker crashed no worker");
        String last = errors.get(errors.size() - 1);
        assertTrue(last.contains("\"poison\""), last);
        assertTrue(last.contains("\"ran\":\"no\""), last);
        for (int i = 0; i < UNRELATED_CHATS; i++) {
            StreamsDeployment.assertComplete(unrelated.get(i), chats.get(i));
        }
        streams.awaitMemoryFreed(8_000);
        assertEquals(alive - countWorkers(), lost, "a worker was lost after the final rejection");
    }

    private long countWorkers() {
        return streams.streamRunningWorkers("prefill").count()
                + streams.streamRunningWorkers("decode").count();
    }
}
