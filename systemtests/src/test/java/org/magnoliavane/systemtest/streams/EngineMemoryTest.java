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

/** Guards against engine memory that stays held by requests whose callers have gone. */
public final class EngineMemoryTest {
    private static final int NODES = 3;
    private static final int LONG_ANSWER_TOKENS = 1_000;

    /** Takes about 0.8 s of prefill. */
    private static final int LONG_PROMPT_CHARACTERS = 48_000;

    private static final long CLOSED_CALLER_MILLIS = 1_000;

    /** The resume window of 5 s and 3 s for the lag of reports. */
    private static final long LOST_NODE_MILLIS = 8_000;

    private StreamsDeployment streams;

    @BeforeClass
    public void start() throws IOException {
        streams = StreamsDeployment.share();
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
            callers.add(streams.send("entry-" + (1 + i % NODES), longPrompt("queue " + i)));
        }
        StreamsDeployment.awaitTrue(
                "a prefill runs", 3_000, () -> streams.sumCounter("prefill", "prefills_started") > before);
        assertTrue(isMemoryHeld(), "no prefill holds memory");
        callers.forEach(ChatStream::close);
        report("closed in queue and prefill", streams.awaitNoMemory(CLOSED_CALLER_MILLIS));
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
                    () -> streams.workers("decode")
                            .anyMatch(w -> streams.getPiecesInUse().get(w) > 0));
            caller.close();
            report("closed in transfer", streams.awaitNoMemory(CLOSED_CALLER_MILLIS));
        } finally {
            setTransfersStalled(false);
        }
    }

    @Test
    public void callersClosedInDecodeLeaveNoMemory() {
        List<ChatStream> callers = sendDecoding("closed", NODES);
        callers.forEach(ChatStream::close);
        report("closed in decode", streams.awaitNoMemory(CLOSED_CALLER_MILLIS));
    }

    @Test(dependsOnMethods = "callersClosedInDecodeLeaveNoMemory", alwaysRun = true)
    public void callersLostWithTheCoordinatorLeaveNoMemory() throws IOException {
        loseNodeWithItsCallers(streams.getCoordinator());
    }

    @Test(dependsOnMethods = "callersLostWithTheCoordinatorLeaveNoMemory", alwaysRun = true)
    public void callersLostWithAnotherNodeLeaveNoMemory() throws IOException {
        loseNodeWithItsCallers(getOther());
    }

    @Test(dependsOnMethods = "callersLostWithAnotherNodeLeaveNoMemory", alwaysRun = true)
    public void callersThatCloseAtTheDeathOfTheirNodeLeaveNoMemory() throws IOException {
        String node = getOther();
        List<ChatStream> callers = sendDecoding("both", NODES);
        callers.add(streams.send(node, longPrompt("both")));
        callers.forEach(ChatStream::close);
        streams.get().getProcess(node).kill();
        streams.get().restartNode(node);
        report("closed, node killed and restarted at once", streams.awaitNoMemory(LOST_NODE_MILLIS));
    }

    private void loseNodeWithItsCallers(String lost) throws IOException {
        LocalDeployment deployment = streams.get();
        Map<String, Chat> chats = new HashMap<>();
        Map<String, ChatStream> callers = new HashMap<>();
        for (String node : deployment.getNodes()) {
            chats.put(node, Chat.of("stay at " + node + " without " + lost, "0000b001", 200));
            callers.put(node, streams.send(node, chats.get(node)));
        }
        callers.values().forEach(c -> assertTrue(c.awaitTokens(5, 5_000), "no tokens: " + c.findError()));
        ChatStream prefilling = streams.send(lost, longPrompt("lost with " + lost));
        StreamsDeployment.sleep(200);
        deployment.killNode(lost);
        prefilling.close();
        callers.get(lost).close();
        long millis = streams.awaitNoMemory(LOST_NODE_MILLIS);
        report("lost with " + lost, millis);
        deployment.restartNode(lost);
        for (String node : chats.keySet()) {
            if (!node.equals(lost)) {
                StreamsDeployment.assertWhole(callers.get(node), chats.get(node));
            }
        }
    }

    private List<ChatStream> sendDecoding(String text, int count) {
        List<ChatStream> callers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            callers.add(streams.send("entry-" + (1 + i % NODES), Chat.of(text + i, "0000c001", LONG_ANSWER_TOKENS)));
        }
        callers.forEach(c -> assertTrue(c.awaitTokens(5, 5_000), "no tokens: " + c.findError()));
        return callers;
    }

    private String getOther() {
        String coordinator = streams.getCoordinator();
        return streams.get().getNodes().stream()
                .filter(node -> !node.equals(coordinator))
                .findFirst()
                .orElseThrow();
    }

    private void setTransfersStalled(boolean stalled) {
        streams.workers("prefill")
                .forEach(w -> streams.get().getEndpoint(w).control(Map.of("stall_transfers", stalled)));
    }

    private boolean isMemoryHeld() {
        return streams.getPiecesInUse().values().stream().anyMatch(p -> p > 0);
    }

    private static Chat longPrompt(String text) {
        return Chat.of(text + " " + "x".repeat(LONG_PROMPT_CHARACTERS), "0000d001", LONG_ANSWER_TOKENS)
                .withClass("patient");
    }

    private static void report(String what, long millis) {
        System.out.println("memory free after " + millis + " ms: " + what);
    }
}
