package org.magnoliavane.systemtest.streams;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.systemtest.ChatStream;
import org.magnoliavane.systemtest.streams.StreamsDeployment.Chat;
import org.testng.annotations.AfterSuite;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests that no answer is duplicated or delivered to another request when a stream is resumed on a second connection.
 */
public final class TakeoverTest {
    private static final String OTHER_CALLER = "example-key-isarwelle";
    private static final long MAX_RELEASE_MILLIS = 8_000;
    private static final int TOKENS = 120;

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
    public void sameKeySentWhileTheFirstRequestRunsIsAnsweredByOneExecution() {
        Chat chat = Chat.of("same key", "00000071", TOKENS);
        long before = streams.sumCounter("decode", "decodes_started");
        ChatStream first = sendWithKey(chat);
        assertTrue(first.awaitTokens(10, 5_000), "no tokens: " + first.findError());
        ChatStream second = sendWithKey(chat);
        StreamsDeployment.assertComplete(second, chat);
        assertTrue(first.awaitEnd(1_000), "the first connection stays open");
        assertFalse(first.isDone(), "both connections received an answer");
        ChatStream third = sendWithKey(chat);
        StreamsDeployment.assertComplete(third, chat);
        assertEquals(streams.sumCounter("decode", "decodes_started") - before, 1);
        streams.awaitMemoryFreed(MAX_RELEASE_MILLIS);
    }

    @Test
    public void anotherCallerCannotTakeAStreamOver() {
        Chat chat = Chat.of("private", "00000072", TOKENS);
        ChatStream mine = streams.send("entry-1", chat);
        assertTrue(mine.awaitTokens(10, 5_000), "no tokens: " + mine.findError());
        ChatStream theirs = streams.resume(mine, "entry-2", chat.withKey(OTHER_CALLER));
        assertTrue(theirs.awaitEnd(5_000), "no answer");
        assertEquals(theirs.getStatus(), 403);
        StreamsDeployment.assertComplete(mine, chat);
        streams.awaitMemoryFreed(MAX_RELEASE_MILLIS);
    }

    @Test
    public void streamResumedWithTheIdOfAnotherRequestOfTheSameCallerIsRejected() {
        Chat a = Chat.of("first of two", "0000007a", TOKENS);
        Chat b = Chat.of("second of two", "0000007b", TOKENS);
        ChatStream streamA = streams.send("entry-1", a);
        ChatStream streamB = streams.send("entry-1", b);
        assertTrue(streamA.awaitTokens(10, 5_000), "no tokens: " + streamA.findError());
        assertTrue(streamB.awaitTokens(10, 5_000), "no tokens: " + streamB.findError());
        ChatStream crossedA = streams.resume(streamB, "entry-2", a);
        ChatStream crossedB = streams.resume(streamA, "entry-3", b);
        assertTrue(crossedA.awaitEnd(StreamsDeployment.ANSWER_TIMEOUT_MILLIS), "no answer");
        assertTrue(crossedB.awaitEnd(StreamsDeployment.ANSWER_TIMEOUT_MILLIS), "no answer");
        System.out.println("resumed with swapped ids: " + crossedA.getStatus() + " " + crossedA.findError());
        assertEquals(crossedA.getStatus(), 400, "request a received the answer of request b");
        assertEquals(crossedB.getStatus(), 400, "request b received the answer of request a");
        StreamsDeployment.assertComplete(streamA, a);
        StreamsDeployment.assertComplete(streamB, b);
        streams.awaitMemoryFreed(MAX_RELEASE_MILLIS);
    }

    @Test
    public void pausedNodeDisturbsNoStreamThatWasResumedElsewhere() {
        String paused = streams.getCoordinator();
        List<String> others = streams.getDeployment().getNodes().stream()
                .filter(n -> !n.equals(paused))
                .toList();
        List<Chat> chats = new ArrayList<>();
        List<ChatStream> before = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            chats.add(Chat.of("paused " + i, String.format("%08x", 128 + i), 200));
            before.add(streams.send(paused, chats.get(i)));
        }
        before.forEach(s -> assertTrue(s.awaitTokens(10, 5_000), "no tokens: " + s.findError()));
        streams.getDeployment().getProcess(paused).pause();
        List<ChatStream> resumed = new ArrayList<>();
        try {
            StreamsDeployment.sleep(1_000);
            for (int i = 0; i < 6; i++) {
                resumed.add(streams.resume(before.get(i), others.get(i % 2), chats.get(i)));
            }
            StreamsDeployment.sleep(2_500);
        } finally {
            streams.getDeployment().getProcess(paused).resume();
        }
        for (int i = 0; i < 6; i++) {
            StreamsDeployment.assertComplete(resumed.get(i), chats.get(i));
            assertTrue(before.get(i).awaitEnd(5_000), "the connection to the paused node stays open");
            assertFalse(before.get(i).isDone(), "two complete answers");
        }
        for (String node : streams.getDeployment().getNodes()) {
            Chat chat = Chat.of("after the pause at " + node, "00000099", 20).withClass("patient");
            StreamsDeployment.assertComplete(streams.send(node, chat), chat);
        }
        long millis = streams.awaitMemoryFreed(MAX_RELEASE_MILLIS);
        System.out.println("paused node: 6 complete answers elsewhere, memory free after " + millis + " ms");
    }

    private ChatStream sendWithKey(Chat chat) {
        HttpRequest request = streams.toRequest("entry-1", chat).withHeader("Idempotency-Key", "\"lesson-71\"");
        return ChatStream.send(streams.getDeployment().getClient(), request);
    }
}
