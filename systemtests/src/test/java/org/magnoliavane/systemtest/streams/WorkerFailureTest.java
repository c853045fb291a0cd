package org.magnoliavane.systemtest.streams;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.magnoliavane.systemtest.ChatStream;
import org.magnoliavane.systemtest.streams.StreamsDeployment.Chat;
import org.testng.annotations.AfterSuite;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests that no answer is lost and no memory stays allocated when workers are killed, transfers stall or connections
 * become unresponsive.
 */
public final class WorkerFailureTest {
    private static final long MAX_RELEASE_MILLIS = 8_000;
    private static final int TOKENS = 60;

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
    public void noAnswerIsLostWhenTheWorkerIsKilledInPrefill() throws IOException {
        Chat chat = createLongChat("prefill dies");
        ChatStream stream = streams.send("entry-1", chat);
        streams.getDeployment().replaceWorker(streams.awaitMemoryHolder("prefill"));
        verifyOutcome("worker killed in prefill", stream, chat);
    }

    @Test
    public void noAnswerIsLostWhenThePrefillWorkerIsKilledInTransfer() throws IOException {
        Chat chat = createChat("prefill worker dies in transfer");
        ChatStream stream = sendIntoStalledTransfer(chat);
        String prefill = streams.awaitMemoryHolder("prefill");
        streams.getDeployment().getProcess(prefill).kill();
        setTransfersStalled(false);
        verifyOutcome("prefill worker killed in transfer", stream, chat);
        streams.getDeployment().replaceWorker(prefill);
    }

    @Test
    public void noAnswerIsLostWhenTheDecodeWorkerIsKilledInTransfer() throws IOException {
        Chat chat = createChat("decode worker dies in transfer");
        ChatStream stream = sendIntoStalledTransfer(chat);
        String decode = streams.awaitMemoryHolder("decode");
        streams.getDeployment().getProcess(decode).kill();
        setTransfersStalled(false);
        verifyOutcome("decode worker killed in transfer", stream, chat);
        streams.getDeployment().replaceWorker(decode);
    }

    @Test
    public void noAnswerIsLostWhenTheWorkerIsKilledInDecode() throws IOException {
        Chat chat = createChat("decode dies");
        ChatStream stream = streams.send("entry-2", chat);
        assertTrue(stream.awaitTokens(10, 5_000), "no tokens: " + stream.findError());
        streams.getDeployment().replaceWorker(streams.awaitMemoryHolder("decode"));
        verifyOutcome("worker killed in decode", stream, chat);
    }

    @Test
    public void requestWithAStalledTransferIsPlacedAgain() {
        Chat chat = createChat("stalled transfer");
        ChatStream stream = sendIntoStalledTransfer(chat);
        String stalled = streams.awaitMemoryHolder("prefill");
        streams.streamRunningWorkers("prefill")
                .filter(w -> !w.equals(stalled))
                .forEach(w -> setTransfersStalled(w, false));
        StreamsDeployment.assertComplete(stream, chat);
        printReleaseTime("stalled transfer", "complete answer");
        setTransfersStalled(false);
    }

    @Test
    public void streamsContinueWhenTheirConnectionsToEnginesBecomeUnresponsive() {
        List<Chat> chats = new ArrayList<>();
        List<ChatStream> sent = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            chats.add(Chat.of("silent " + i, String.format("%08x", i), 200).withClass("patient"));
            sent.add(streams.send("entry-" + (1 + i % 2), chats.get(i)));
        }
        sent.forEach(s -> assertTrue(s.awaitTokens(5, 5_000), "no tokens: " + s.findError()));
        chats.add(createLongChat("silent prefill"));
        sent.add(streams.send("entry-1", chats.get(8)));
        streams.awaitMemoryHolder("prefill");
        silenceConnections("decode");
        silenceConnections("prefill");
        StreamsDeployment.sleep(2_500);
        silenceConnections("decode");
        for (int i = 0; i < sent.size(); i++) {
            StreamsDeployment.assertComplete(sent.get(i), chats.get(i));
        }
        printReleaseTime("connections unresponsive twice, " + sent.size() + " streams", "complete answers");
    }

    private void verifyOutcome(String what, ChatStream stream, Chat chat) {
        printReleaseTime(what, StreamsDeployment.assertCompleteOrFinalError(stream, chat));
    }

    private void printReleaseTime(String what, String result) {
        long millis = streams.awaitMemoryFreed(MAX_RELEASE_MILLIS);
        System.out.println(what + ": " + result + ", memory free after " + millis + " ms");
    }

    private ChatStream sendIntoStalledTransfer(Chat chat) {
        setTransfersStalled(true);
        ChatStream stream = streams.send("entry-1", chat);
        streams.awaitMemoryHolder("decode");
        return stream;
    }

    private void setTransfersStalled(boolean stalled) {
        streams.streamRunningWorkers("prefill").forEach(w -> setTransfersStalled(w, stalled));
    }

    private void setTransfersStalled(String worker, boolean stalled) {
        streams.getDeployment().getEndpoint(worker).setFaults(Map.of("stall_transfers", stalled));
    }

    private void silenceConnections(String role) {
        streams.streamRunningWorkers(role)
                .forEach(w -> streams.getDeployment().getEndpoint(w).setFaults(Map.of("silent", true)));
    }

    private static Chat createChat(String text) {
        return Chat.of(text, "0000b002", TOKENS).withClass("patient");
    }

    private static Chat createLongChat(String text) {
        return createChat(text + " " + "y".repeat(40_000));
    }
}
