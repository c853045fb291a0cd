package org.magnoliavane.systemtest.streams;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.magnoliavane.systemtest.ChatStream;
import org.magnoliavane.systemtest.LocalDeployment;
import org.magnoliavane.systemtest.streams.StreamsDeployment.Chat;
import org.testng.annotations.AfterSuite;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that engines free the memory of requests whose callers have disconnected. */
public final class EngineMemoryTest {
    private static final int NODES = 3;
    private static final int LONG_ANSWER_TOKENS = 1_000;

    /** A prompt of this length takes about 0.8 s of prefill. */
    private static final int LONG_PROMPT_CHARACTERS = 48_000;

    private static final long MAX_RELEASE_AFTER_CLOSE_MILLIS = 1_000;

    /** Consists of the resume window of 5 s and 3 s for the delay of reports. */
    private static final long MAX_RELEASE_AFTER_NODE_LOSS_MILLIS = 8_000;

    private StreamsDeployment streams;

    @BeforeClass
    public void start() throws IOException {
        streams = StreamsDeployment.getShared();
    }

    @AfterSuite(alwaysRun = true)
    public void close() {
        StreamsDeployment.closeShared();
    }

    @Test
    public void closedCallersInQueueAndInPrefillLeaveNoMemory() {
        long before = streams.sumCounter("prefill", "prefills_started");
        List<ChatStream> callers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            callers.add(streams.send("entry-" + (1 + i % NODES), createLongChat("queue " + i)));
        }
        StreamsDeployment.awaitTrue(
                "a prefill runs", 3_000, () -> streams.sumCounter("prefill", "prefills_started") > before);
        assertTrue(isMemoryHeld(), "no prefill holds memory");
        callers.forEach(ChatStream::close);
        printReleaseTime("closed in queue and prefill", streams.awaitMemoryFreed(MAX_RELEASE_AFTER_CLOSE_MILLIS));
    }

    @Test
    public void callersClosedInTransferLeaveNoMemory() {
        long before = streams.sumCounter("prefill", "prefills_finished");
        setTransfersStalled(true);
        try {
            ChatStream caller = streams.send("entry-1", Chat.of("transfer", "0000a001", LONG_ANSWER_TOKENS));
            StreamsDeployment.awaitTrue(
                    "prefill ends", 3_000, () -> streams.sumCounter("prefill", "prefills_finished") > before);
            StreamsDeployment.awaitTrue(
                    "transfer stalls",
                    3_000,
                    () -> streams.streamRunningWorkers("decode")
                            .anyMatch(w -> streams.getPiecesInUse().get(w) > 0));
            caller.close();
            printReleaseTime("closed in transfer", streams.awaitMemoryFreed(MAX_RELEASE_AFTER_CLOSE_MILLIS));
        } finally {
            setTransfersStalled(false);
        }
    }

    @Test
    public void callersClosedInDecodeLeaveNoMemory() {
        List<ChatStream> callers = sendUntilDecoding("closed", NODES);
        callers.forEach(ChatStream::close);
        printReleaseTime("closed in decode", streams.awaitMemoryFreed(MAX_RELEASE_AFTER_CLOSE_MILLIS));
    }

    @Test(dependsOnMethods = "callersClosedInDecodeLeaveNoMemory", alwaysRun = true)
    public void callersOfAKilledCoordinatorLeaveNoMemory() throws IOException {
        killNodeAndCloseItsCallers(streams.getCoordinator());
    }

    @Test(dependsOnMethods = "callersOfAKilledCoordinatorLeaveNoMemory", alwaysRun = true)
    public void callersOfAnotherKilledNodeLeaveNoMemory() throws IOException {
        killNodeAndCloseItsCallers(getNonCoordinator());
    }

    @Test(dependsOnMethods = "callersOfAnotherKilledNodeLeaveNoMemory", alwaysRun = true)
    public void callersThatCloseJustBeforeTheirNodeIsKilledLeaveNoMemory() throws IOException {
        String node = getNonCoordinator();
        List<ChatStream> callers = sendUntilDecoding("both", NODES);
        callers.add(streams.send(node, createLongChat("both")));
        callers.forEach(ChatStream::close);
        streams.getDeployment().getProcess(node).kill();
        streams.getDeployment().restartNode(node);
        printReleaseTime(
                "closed, node killed and restarted at once",
                streams.awaitMemoryFreed(MAX_RELEASE_AFTER_NODE_LOSS_MILLIS));
    }

    private void killNodeAndCloseItsCallers(String killed) throws IOException {
        LocalDeployment deployment = streams.getDeployment();
        Map<String, Chat> chats = new HashMap<>();
        Map<String, ChatStream> callers = new HashMap<>();
        for (String node : deployment.getNodes()) {
            chats.put(node, Chat.of("stay at " + node + " without " + killed, "0000b001", 200));
            callers.put(node, streams.send(node, chats.get(node)));
        }
        callers.values().forEach(c -> assertTrue(c.awaitTokens(5, 5_000), "no tokens: " + c.findError()));
        ChatStream prefilling = streams.send(killed, createLongChat("lost with " + killed));
        StreamsDeployment.sleep(200);
        deployment.killNode(killed);
        prefilling.close();
        callers.get(killed).close();
        long millis = streams.awaitMemoryFreed(MAX_RELEASE_AFTER_NODE_LOSS_MILLIS);
        printReleaseTime("lost with " + killed, millis);
        deployment.restartNode(killed);
        for (String node : chats.keySet()) {
            if (!node.equals(killed)) {
                StreamsDeployment.assertComplete(callers.get(node), chats.get(node));
            }
        }
    }

    private List<ChatStream> sendUntilDecoding(String text, int count) {
        List<ChatStream> callers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            callers.add(streams.send("entry-" + (1 + i % NODES), Chat.of(text + i, "0000c001", LONG_ANSWER_TOKENS)));
        }
        callers.forEach(c -> assertTrue(c.awaitTokens(5, 5_000), "no tokens: " + c.findError()));
        return callers;
    }

    private String getNonCoordinator() {
        String coordinator = streams.getCoordinator();
        return streams.getDeployment().getNodes().stream()
                .filter(node -> !node.equals(coordinator))
                .findFirst()
                .orElseThrow();
    }

    private void setTransfersStalled(boolean stalled) {
        streams.streamRunningWorkers("prefill")
                .forEach(w -> streams.getDeployment().getEndpoint(w).setFaults(Map.of("stall_transfers", stalled)));
    }

    private boolean isMemoryHeld() {
        return streams.getPiecesInUse().values().stream().anyMatch(p -> p > 0);
    }

    private static Chat createLongChat(String text) {
        return Chat.of(text + " " + "x".repeat(LONG_PROMPT_CHARACTERS), "0000d001", LONG_ANSWER_TOKENS)
                .withClass("patient");
    }

    private static void printReleaseTime(String what, long millis) {
        System.out.println("memory free after " + millis + " ms: " + what);
    }
}
