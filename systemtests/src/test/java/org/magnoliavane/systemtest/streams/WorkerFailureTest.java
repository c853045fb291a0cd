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

/** Guards against answers and memory lost with workers that die, transfers that stall and connections gone silent. */
public final class WorkerFailureTest {
    private static final long MEMORY_MILLIS = 8_000;
    private static final int TOKENS = 60;

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
    public void deathOfTheWorkerInPrefillLosesNoAnswer() throws IOException {
        Chat chat = longPrompt("prefill dies");
        ChatStream stream = streams.send("entry-1", chat);
        streams.get().replaceWorker(streams.awaitHolder("prefill"));
        check("worker died in prefill", stream, chat);
    }

    @Test
    public void deathOfThePrefillWorkerInTransferLosesNoAnswer() throws IOException {
        Chat chat = chat("prefill worker dies in transfer");
        ChatStream stream = sendIntoStalledTransfer(chat);
        String prefill = streams.awaitHolder("prefill");
        streams.get().getProcess(prefill).kill();
        setTransfersStalled(false);
        check("prefill worker died in transfer", stream, chat);
        streams.get().replaceWorker(prefill);
    }

    @Test
    public void deathOfTheDecodeWorkerInTransferLosesNoAnswer() throws IOException {
        Chat chat = chat("decode worker dies in transfer");
        ChatStream stream = sendIntoStalledTransfer(chat);
        String decode = streams.awaitHolder("decode");
        streams.get().getProcess(decode).kill();
        setTransfersStalled(false);
        check("decode worker died in transfer", stream, chat);
        streams.get().replaceWorker(decode);
    }

    @Test
    public void deathOfTheWorkerInDecodeLosesNoAnswer() throws IOException {
        Chat chat = chat("decode dies");
        ChatStream stream = streams.send("entry-2", chat);
        assertTrue(stream.awaitTokens(10, 5_000), "no tokens: " + stream.findError());
        streams.get().replaceWorker(streams.awaitHolder("decode"));
        check("worker died in decode", stream, chat);
    }

    @Test
    public void stalledTransferIsReplacedByAnotherPlacement() {
        Chat chat = chat("stalled transfer");
        ChatStream stream = sendIntoStalledTransfer(chat);
        String stalled = streams.awaitHolder("prefill");
        streams.workers("prefill").filter(w -> !w.equals(stalled)).forEach(w -> setTransfersStalled(w, false));
        StreamsDeployment.assertWhole(stream, chat);
        report("stalled transfer", "whole answer");
        setTransfersStalled(false);
    }

    @Test
    public void streamsGoOnWhenTheirConnectionsToTheEnginesGoSilent() {
        List<Chat> chats = new ArrayList<>();
        List<ChatStream> sent = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            chats.add(Chat.of("silent " + i, String.format("%08x", i), 200).withClass("patient"));
            sent.add(streams.send("entry-" + (1 + i % 2), chats.get(i)));
        }
        sent.forEach(s -> assertTrue(s.awaitTokens(5, 5_000), "no tokens: " + s.findError()));
        chats.add(longPrompt("silent prefill"));
        sent.add(streams.send("entry-1", chats.get(8)));
        streams.awaitHolder("prefill");
        setSilent("decode");
        setSilent("prefill");
        StreamsDeployment.sleep(2_500);
        setSilent("decode");
        for (int i = 0; i < sent.size(); i++) {
            StreamsDeployment.assertWhole(sent.get(i), chats.get(i));
        }
        report("connections silent twice, " + sent.size() + " streams", "whole answers");
    }

    private void check(String what, ChatStream stream, Chat chat) {
        report(what, StreamsDeployment.assertWholeOrFinalError(stream, chat));
    }

    private void report(String what, String result) {
        long millis = streams.awaitNoMemory(MEMORY_MILLIS);
        System.out.println(what + ": " + result + ", memory free after " + millis + " ms");
    }

    private ChatStream sendIntoStalledTransfer(Chat chat) {
        setTransfersStalled(true);
        ChatStream stream = streams.send("entry-1", chat);
        streams.awaitHolder("decode");
        return stream;
    }

    private void setTransfersStalled(boolean stalled) {
        streams.workers("prefill").forEach(w -> setTransfersStalled(w, stalled));
    }

    private void setTransfersStalled(String worker, boolean stalled) {
        streams.get().getEndpoint(worker).control(Map.of("stall_transfers", stalled));
    }

    private void setSilent(String role) {
        streams.workers(role).forEach(w -> streams.get().getEndpoint(w).control(Map.of("silent", true)));
    }

    private static Chat chat(String text) {
        return Chat.of(text, "0000b002", TOKENS).withClass("patient");
    }

    private static Chat longPrompt(String text) {
        return chat(text + " " + "y".repeat(40_000));
    }
}
