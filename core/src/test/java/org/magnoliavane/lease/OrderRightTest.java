package org.magnoliavane.lease;

import java.util.OptionalLong;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class OrderRightTest {
    private static final long LEASE_MILLIS = 3000;
    private static final long WALL_MILLIS = 1_700_000_000_000L;

    @Test
    public void anAcceptedRecordYieldsTheNewLogEndAsFencingToken() {
        OrderRight lease = new OrderRight(LEASE_MILLIS);
        assertEquals(lease.startTry(0, WALL_MILLIS), OptionalLong.of(0));
        assertEquals(lease.findFence(5, WALL_MILLIS + 5), OptionalLong.empty());
        lease.accepted(1);
        assertEquals(lease.findFence(10, WALL_MILLIS + 10), OptionalLong.of(1));
    }

    @Test
    public void aNodeThatFindsAnotherHolderWaitsMoreThanOneLeaseAfterThatHoldersLastOrder() {
        OrderRight first = new OrderRight(LEASE_MILLIS);
        OrderRight second = new OrderRight(LEASE_MILLIS);
        first.startTry(0, WALL_MILLIS);
        first.accepted(1);
        second.startTry(1, WALL_MILLIS + 1);
        second.refused(1, 2);
        long lastOrderMillis = 0;
        while (first.findFence(lastOrderMillis, WALL_MILLIS + lastOrderMillis).isPresent()) {
            lastOrderMillis++;
        }
        long nextMillis = 2;
        while (second.startTry(nextMillis, WALL_MILLIS + nextMillis).isEmpty()) {
            nextMillis++;
        }
        assertTrue(nextMillis - lastOrderMillis > LEASE_MILLIS, "gap of " + (nextMillis - lastOrderMillis) + " ms");
    }

    @Test
    public void aHolderThatWasFrozenLosesTheLeaseByTheWallClock() {
        OrderRight lease = new OrderRight(LEASE_MILLIS);
        lease.startTry(0, WALL_MILLIS);
        lease.accepted(1);
        assertEquals(lease.findFence(20, WALL_MILLIS + 6000), OptionalLong.empty());
    }

    @Test
    public void aHolderWhoseWallClockIsSetBackLosesTheLease() {
        OrderRight lease = new OrderRight(LEASE_MILLIS);
        lease.startTry(0, WALL_MILLIS);
        lease.accepted(1);
        assertEquals(lease.findFence(20, WALL_MILLIS - 6000), OptionalLong.empty());
    }

    @Test
    public void anUnansweredRecordYieldsNoLeaseAndDelaysTheNextAcquisition() {
        OrderRight lease = new OrderRight(LEASE_MILLIS);
        lease.startTry(0, WALL_MILLIS);
        lease.lost(1500);
        assertEquals(lease.findFence(1501, WALL_MILLIS + 1501), OptionalLong.empty());
        assertEquals(lease.startTry(1500 + LEASE_MILLIS, WALL_MILLIS), OptionalLong.empty());
        assertEquals(lease.startTry(1500 + 2 * LEASE_MILLIS, WALL_MILLIS), OptionalLong.of(0));
    }

    @Test
    public void aNodeThatLearnedOfTheLastHolderLongAgoAcquiresAtOnceAtTheKnownEnd() {
        OrderRight lease = new OrderRight(LEASE_MILLIS);
        lease.heard(4, 0, 0);
        assertEquals(lease.startTry(LEASE_MILLIS, WALL_MILLIS), OptionalLong.empty());
        assertEquals(lease.startTry(2 * LEASE_MILLIS, WALL_MILLIS), OptionalLong.of(4));
    }

    @Test
    public void repeatedReportsOfAKnownEndDoNotProlongTheWait() {
        OrderRight lease = new OrderRight(LEASE_MILLIS);
        lease.heard(4, 0, 0);
        lease.heard(4, 0, 4000);
        lease.heard(3, 0, 4100);
        assertEquals(lease.startTry(5000, WALL_MILLIS), OptionalLong.of(4));
    }

    @Test
    public void aStartingNodeDoesNotWaitForAHolderThatOthersHaveKnownLongEnough() {
        OrderRight lease = new OrderRight(LEASE_MILLIS);
        lease.heard(4, 60_000, 100);
        assertEquals(lease.startTry(101, WALL_MILLIS), OptionalLong.of(4));
    }

    @Test
    public void onlyOneAcquisitionRunsAtATime() {
        OrderRight lease = new OrderRight(LEASE_MILLIS);
        lease.startTry(0, WALL_MILLIS);
        assertEquals(lease.startTry(100_000, WALL_MILLIS), OptionalLong.empty());
    }

    @Test
    public void noOrderIsEverAllowedWithALeaseTimeOfZero() {
        assertEquals(new OrderRight(0).startTry(0, WALL_MILLIS), OptionalLong.empty());
    }
}
