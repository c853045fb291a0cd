package org.magnoliavane.emulator.load;

import java.util.List;
import java.util.Set;

import com.beust.jcommander.ParameterException;
import org.magnoliavane.emulator.CommandOptions;
import org.magnoliavane.emulator.booking.BookingEmulator;
import org.magnoliavane.emulator.engine.TokenText;
import org.magnoliavane.pool.TokenCount;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

public class LoadRunTest {
    private FakeNode node;

    @BeforeMethod
    public void start() throws Exception {
        node = new FakeNode();
    }

    @AfterMethod
    public void stop() {
        node.close();
    }

    @Test
    public void aBrokenStreamIsResumedAfterTheLastPosition() throws Exception {
        node.faults.add(FakeNode.BREAK);
        LoadResult result = run(node.getUrl(), "chat", "--count", "1");
        assertEquals(result.chats().count(ChatOutcome.COMPLETE), 1);
        assertEquals(result.chats().resumes(), 1);
        assertEquals(List.copyOf(node.resumedFrom), List.of("w/a/2"));
    }

    /** Guards against a tool that reports a clean run although answers were damaged. */
    @Test
    public void damagedAnswersAndRefusalsAreTold() throws Exception {
        node.faults.addAll(List.of(FakeNode.DOUBLE, FakeNode.LOSE, FakeNode.CROSS, FakeNode.REFUSE));
        LoadResult result = run(node.getUrl(), "chat", "--count", "10");
        assertEquals(result.chats().count(ChatOutcome.COMPLETE), 6);
        assertEquals(result.chats().count(ChatOutcome.DOUBLED), 1);
        assertEquals(result.chats().count(ChatOutcome.LOST), 1);
        assertEquals(result.chats().count(ChatOutcome.CROSSED), 1);
        assertEquals(result.chats().count(ChatOutcome.REFUSED), 1);
        assertEquals(result.chats().refusedWithRetryAfter(), 1);
        assertEquals(result.chats().good(), 6);
    }

    @Test
    public void aBookingWithoutAnAnswerIsRepeatedWithItsKey() throws Exception {
        node.faults.add(FakeNode.BREAK);
        LoadResult result = run(node.getUrl(), "booking", "--count", "1");
        assertEquals(result.bookings().ranYes(), 1);
        assertEquals(result.bookings().repeats(), 1);
        assertEquals(Set.copyOf(node.keys), result.bookings().ranByKey().keySet());
        assertTrue(node.keys.peek().startsWith("n.7.100/"));
    }

    @Test
    public void anAnswerToAnotherKeyCountsAsCrossed() throws Exception {
        node.faults.add(FakeNode.CROSS);
        assertEquals(run(node.getUrl(), "booking", "--count", "3").bookings().crossed(), 1);
    }

    @Test
    public void aNodeWithoutAddressesIsUsedAsGiven() throws Exception {
        try (BookingEmulator plain = BookingEmulator.start()) {
            LoadResult result = run("http://127.0.0.1:" + plain.getPort(), "booking", "--count", "20");
            assertEquals(result.bookings().ranYes(), 20);
            assertEquals(plain.getRuns().keySet(), result.bookings().ranByKey().keySet());
        }
    }

    @Test
    public void callersThatFindNoNodeGiveUp() throws Exception {
        String url = node.getUrl();
        node.close();
        LoadResult result = run(url, "mixed", "--count", "10", "--give-up-millis", "300");
        assertEquals(
                result.chats().count(ChatOutcome.UNANSWERED) + result.bookings().unanswered(), 10);
    }

    @Test
    public void aPlanDependsOnItsSeedAlone() {
        assertEquals(plan("1"), plan("1"));
        assertNotEquals(plan("1"), plan("2"));
    }

    @Test
    public void promptsHaveTheirLengthAndTellTheirCheck() {
        for (PlannedRequest request : plan("3")) {
            String text = request.prompt().toText();
            assertEquals(TokenCount.of(text), request.prompt().tokens());
            assertEquals(TokenText.computeCheck(text), request.check());
            assertEquals(TokenText.findMaxOutput(text).orElseThrow(), request.outputTokens());
        }
        int longest = plan("3").stream()
                .mapToInt(request -> request.prompt().tokens())
                .max()
                .orElseThrow();
        assertTrue(longest > 5000, "longest prompt " + longest);
    }

    @Test
    public void wrongOptionsAreRefusedWithTheirRange() {
        expectThrows(ParameterException.class, () -> LoadRun.run("--count", "1"));
        ParameterException wrong = expectThrows(
                ParameterException.class, () -> LoadRun.run("--nodes", "http://127.0.0.1:1", "--cancel-share", "2"));
        assertTrue(wrong.getMessage().contains("0.0 to 1.0"), wrong.getMessage());
    }

    private static List<PlannedRequest> plan(String seed) {
        return RequestPlan.of(CommandOptions.parse(
                new LoadOptions(), "--nodes", "http://127.0.0.1:1", "--seed", seed, "--classes", "fast=1,patient=2"));
    }

    private static LoadResult run(String url, String kind, String... more) throws Exception {
        List<String> arguments = new java.util.ArrayList<>(
                List.of("--nodes", url, "--kind", kind, "--rate", "200", "--output-median-tokens", "20"));
        arguments.addAll(List.of(more));
        return LoadRun.run(arguments.toArray(String[]::new));
    }
}
