package org.magnoliavane.balance;

import java.util.PriorityQueue;

import org.magnoliavane.balance.ReservationTable.Demand;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests the reservations of one worker under a load of small requests that leaves no room for a large one. Pattern: small
 * requests that starve a large one. The small ones ask for three times the memory of the worker.
 */
public class LargeRequestAdmissionTest {
    private static final int LIMIT_TOKENS = 39_000;
    private static final int SLOTS = 16;
    private static final int SMALL_TOKENS = 5000;
    private static final int LARGE_TOKENS = 30_000;
    private static final long SMALL_DURATION_MILLIS = 700;
    private static final long LARGE_DURATION_MILLIS = 1500;
    private static final long POLL_MILLIS = 15;
    private static final long LARGE_ARRIVAL_MILLIS = 2000;
    private static final long END_MILLIS = 12_000;
    private static final long MAX_PROTECTION_MILLIS = 2500;
    private static final long WAIT_MILLIS = 5000;

    @Test
    public void aLargeRequestThatWaitsAtTheOwnerStartsAsSoonAsItsStreamsHaveEnded() {
        Outcome outcome = simulate(true, Long.MAX_VALUE);
        assertTrue(
                outcome.largeStartMillis - LARGE_ARRIVAL_MILLIS <= SMALL_DURATION_MILLIS + 2 * POLL_MILLIS,
                "started at " + outcome.largeStartMillis);
    }

    /** Checks the test above: a large request that does not wait at the owner starves. */
    @Test
    public void aLargeRequestThatPollsStarves() {
        assertEquals(simulate(false, Long.MAX_VALUE).largeStartMillis, Long.MAX_VALUE);
    }

    @Test
    public void smallRequestsGoOnBesideAndAfterTheLargeOne() {
        int without = simulate(false, Long.MAX_VALUE).smallStarted;
        int with = simulate(true, Long.MAX_VALUE).smallStarted;
        // The large request occupies the worker for at most 2.2 s of 12 s, of which its run takes 1.5 s.
        assertTrue(with >= without * 0.8, with + " of " + without);
    }

    /** Guards against capacity that stays unused because the node of a waiting request has failed. */
    @Test
    public void aWaitingRequestThatIsNotRepeatedKeepsNoCapacityFree() {
        int without = simulate(false, Long.MAX_VALUE).smallStarted;
        int with = simulate(true, LARGE_ARRIVAL_MILLIS + 100).smallStarted;
        assertTrue(with >= without * 0.95, with + " of " + without);
    }

    @Test
    public void capacityIsKeptFreeForALimitedTimeWhileAStreamOccupiesTheWorker() {
        ReservationTable table = new ReservationTable(Long.MAX_VALUE / 2);
        assertTrue(isGranted(table.request("stream", 1, demand(LIMIT_TOKENS - SMALL_TOKENS, false), 0)));
        table.request("large", 1, demand(LARGE_TOKENS, true), 0);
        long now = 0;
        while (!isGranted(table.request("small", now, demand(SMALL_TOKENS, false), now))) {
            now += POLL_MILLIS;
            table.request("large", 1, demand(LARGE_TOKENS, true), now);
        }
        assertTrue(
                now >= MAX_PROTECTION_MILLIS && now <= MAX_PROTECTION_MILLIS + POLL_MILLIS,
                "small requests waited until " + now);
    }

    @Test
    public void capacityIsKeptFreeForOneRequestAtATime() {
        ReservationTable table = new ReservationTable(1000);
        assertTrue(isGranted(table.request("a", 1, demand(20_000, false), 0)));
        assertTrue(isGranted(table.request("b", 1, demand(10_000, false), 0)));
        assertEquals(table.request("first", 1, demand(25_000, true), 0), ReservationTable.Reply.WAITING);
        assertEquals(table.request("second", 1, demand(25_000, true), 0), ReservationTable.Reply.WAITING);
        table.release("w", "a", 1, 0);
        assertEquals(table.request("second", 1, demand(25_000, true), 10), ReservationTable.Reply.WAITING);
        assertEquals(table.request("first", 1, demand(25_000, true), 10), ReservationTable.Reply.GRANTED);
    }

    /** Guards against idle capacity: a request that is overdue in any case is not worth it. */
    @Test
    public void noCapacityIsKeptFreeForAnOverdueRequest() {
        ReservationTable table = new ReservationTable(1000);
        assertTrue(isGranted(table.request("stream", 1, demand(LIMIT_TOKENS - SMALL_TOKENS, false), 0)));
        table.request("large", 1, new Demand("w", LARGE_TOKENS, LIMIT_TOKENS, SLOTS, 0, 700, -1, 500, false), 0);
        assertTrue(isGranted(table.request("small", 1, demand(SMALL_TOKENS, false), 0)));
    }

    /** Lets the large request wait at the owner or poll, in both cases every 15 ms until its last attempt. */
    private static Outcome simulate(boolean waits, long lastAttemptMillis) {
        ReservationTable table = new ReservationTable(10_000);
        PriorityQueue<Run> runs = new PriorityQueue<>((a, b) -> Long.compare(a.endMillis, b.endMillis));
        long largeStartMillis = Long.MAX_VALUE;
        int smallStarted = 0;
        for (long now = 0; now < END_MILLIS; now += POLL_MILLIS) {
            while (!runs.isEmpty() && runs.peek().endMillis <= now) {
                Run ended = runs.remove();
                table.release("w", ended.node, ended.id, now);
            }
            for (int node = 0; node < 20; node++) {
                if (now / POLL_MILLIS % 20 == node
                        && isGranted(table.request("n" + node, now, demand(SMALL_TOKENS, false), now))) {
                    runs.add(new Run("n" + node, now, now + SMALL_DURATION_MILLIS));
                    smallStarted++;
                }
            }
            boolean asks = now >= LARGE_ARRIVAL_MILLIS && now <= lastAttemptMillis && largeStartMillis > now;
            if (asks && isGranted(table.request("large", waits ? 1 : now, demand(LARGE_TOKENS, waits), now))) {
                largeStartMillis = now;
                runs.add(new Run("large", waits ? 1 : now, now + LARGE_DURATION_MILLIS));
            }
        }
        return new Outcome(largeStartMillis, smallStarted);
    }

    private static boolean isGranted(ReservationTable.Reply reply) {
        return reply == ReservationTable.Reply.GRANTED;
    }

    private static Demand demand(int tokens, boolean waits) {
        return new Demand("w", tokens, LIMIT_TOKENS, SLOTS, 0, 0, WAIT_MILLIS, waits ? WAIT_MILLIS : 0, false);
    }

    private record Run(String node, long id, long endMillis) {}

    private record Outcome(long largeStartMillis, int smallStarted) {}
}
