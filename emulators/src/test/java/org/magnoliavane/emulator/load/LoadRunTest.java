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

    /** Guards against a load generator that reports success although answers were damaged. */
    @Test
    public void damagedAnswersAndRejectionsAreReported() throws Exception {
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
    public void aBookingWithoutAResponseIsRetriedWithItsKey() throws Exception {
        node.faults.add(FakeNode.BREAK);
        LoadResult result = run(node.getUrl(), "booking", "--count", "1");
        assertEquals(result.bookings().ranYes(), 1);
        assertEquals(result.bookings().repeats(), 1);
        assertEquals(Set.copyOf(node.keys), result.bookings().ranByKey().keySet());
        assertTrue(node.keys.peek().startsWith("n.7.100/"));
    }

    @Test
    public void aResponseToAnotherKeyCountsAsCrossed() throws Exception {
        node.faults.add(FakeNode.CROSS);
        assertEquals(run(node.getUrl(), "booking", "--count", "3").bookings().crossed(), 1);
    }

    @Test
    public void theConfiguredUrlIsUsedIfTheNodeReturnsNoAddresses() throws Exception {
        try (BookingEmulator plain = BookingEmulator.start()) {
            LoadResult result = run("http://127.0.0.1:" + plain.getPort(), "booking", "--count", "20");
            assertEquals(result.bookings().ranYes(), 20);
            assertEquals(
                    plain.getRunCounts().keySet(), result.bookings().ranByKey().keySet());
        }
    }

    @Test
    public void callersTimeOutIfNoNodeIsReachable() throws Exception {
        String url = node.getUrl();
        node.close();
        LoadResult result = run(url, "mixed", "--count", "10", "--give-up-millis", "300");
        assertEquals(
                result.chats().count(ChatOutcome.UNANSWERED) + result.bookings().unanswered(), 10);
    }

    @Test
    public void aPlanDependsOnlyOnItsSeed() {
        assertEquals(createPlan("1"), createPlan("1"));
        assertNotEquals(createPlan("1"), createPlan("2"));
    }

    @Test
    public void promptsHaveThePlannedLengthAndCheck() {
        for (PlannedRequest request : createPlan("3")) {
            String text = request.prompt().toText();
            assertEquals(TokenCount.of(text), request.prompt().tokens());
            assertEquals(TokenText.computeCheck(text), request.check());
            assertEquals(TokenText.findMaxOutput(text).orElseThrow(), request.outputTokens());
        }
        int longest = createPlan("3").stream()
                .mapToInt(request -> request.prompt().tokens())
                .max()
                .orElseThrow();
        assertTrue(longest > 5000, "longest prompt " + longest);
    }

    @Test
    public void invalidOptionsAreRejectedWithTheirRange() {
        expectThrows(ParameterException.class, () -> LoadRun.run("--count", "1"));
        ParameterException exception = expectThrows(
                ParameterException.class, () -> LoadRun.run("--nodes", "http://127.0.0.1:1", "--cancel-share", "2"));
        assertTrue(exception.getMessage().contains("0.0 to 1.0"), exception.getMessage());
    }

    private static List<PlannedRequest> createPlan(String seed) {
        return RequestPlan.of(CommandOptions.parse(
                new LoadOptions(), "--nodes", "http://127.0.0.1:1", "--seed", seed, "--classes", "fast=1,patient=2"));
    }

    private static LoadResult run(String url, String kind, String... options) throws Exception {
        List<String> arguments = new java.util.ArrayList<>(
                List.of("--nodes", url, "--kind", kind, "--rate", "200", "--output-median-tokens", "20"));
        arguments.addAll(List.of(options));
        return LoadRun.run(arguments.toArray(String[]::new));
    }
}
