package org.magnoliavane.lease;

import java.util.OptionalLong;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class OrderLeaseTest {
    private static final long LEASE_MILLIS = 3000;
    private static final long WALL_MILLIS = 1_700_000_000_000L;

    @Test
    public void anAcceptedRecordYieldsTheNewLogEndAsFencingToken() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        assertEquals(lease.startAcquisition(0, WALL_MILLIS), OptionalLong.of(0));
        assertEquals(lease.findFencingToken(5, WALL_MILLIS + 5), OptionalLong.empty());
        lease.completeAcquisition(1);
        assertEquals(lease.findFencingToken(10, WALL_MILLIS + 10), OptionalLong.of(1));
    }

    @Test
    public void aNodeThatFindsAnotherHolderWaitsMoreThanOneLeaseAfterThatHoldersLastOrder() {
        OrderLease first = new OrderLease(LEASE_MILLIS);
        OrderLease second = new OrderLease(LEASE_MILLIS);
        first.startAcquisition(0, WALL_MILLIS);
        first.completeAcquisition(1);
        second.startAcquisition(1, WALL_MILLIS + 1);
        second.rejectAcquisition(1, 2);
        long lastOrderMillis = 0;
        while (first.findFencingToken(lastOrderMillis, WALL_MILLIS + lastOrderMillis)
                .isPresent()) {
            lastOrderMillis++;
        }
        long nextMillis = 2;
        while (second.startAcquisition(nextMillis, WALL_MILLIS + nextMillis).isEmpty()) {
            nextMillis++;
        }
        assertTrue(nextMillis - lastOrderMillis > LEASE_MILLIS, "gap of " + (nextMillis - lastOrderMillis) + " ms");
    }

    @Test
    public void aHolderThatWasFrozenLosesTheLeaseByTheWallClock() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.startAcquisition(0, WALL_MILLIS);
        lease.completeAcquisition(1);
        assertEquals(lease.findFencingToken(20, WALL_MILLIS + 6000), OptionalLong.empty());
    }

    @Test
    public void aHolderWhoseWallClockIsSetBackLosesTheLease() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.startAcquisition(0, WALL_MILLIS);
        lease.completeAcquisition(1);
        assertEquals(lease.findFencingToken(20, WALL_MILLIS - 6000), OptionalLong.empty());
    }

    @Test
    public void anUnansweredRecordYieldsNoLeaseAndDelaysTheNextAcquisition() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.startAcquisition(0, WALL_MILLIS);
        lease.abandonAcquisition(1500);
        assertEquals(lease.findFencingToken(1501, WALL_MILLIS + 1501), OptionalLong.empty());
        assertEquals(lease.startAcquisition(1500 + LEASE_MILLIS, WALL_MILLIS), OptionalLong.empty());
        assertEquals(lease.startAcquisition(1500 + 2 * LEASE_MILLIS, WALL_MILLIS), OptionalLong.of(0));
    }

    @Test
    public void aNodeThatLearnedOfTheLastHolderLongAgoAcquiresAtOnceAtTheKnownEnd() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.observeLogEnd(4, 0, 0);
        assertEquals(lease.startAcquisition(LEASE_MILLIS, WALL_MILLIS), OptionalLong.empty());
        assertEquals(lease.startAcquisition(2 * LEASE_MILLIS, WALL_MILLIS), OptionalLong.of(4));
    }

    @Test
    public void repeatedReportsOfAKnownEndDoNotProlongTheWait() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.observeLogEnd(4, 0, 0);
        lease.observeLogEnd(4, 0, 4000);
        lease.observeLogEnd(3, 0, 4100);
        assertEquals(lease.startAcquisition(5000, WALL_MILLIS), OptionalLong.of(4));
    }

    @Test
    public void aStartingNodeDoesNotWaitForAHolderThatOthersHaveKnownLongEnough() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.observeLogEnd(4, 60_000, 100);
        assertEquals(lease.startAcquisition(101, WALL_MILLIS), OptionalLong.of(4));
    }

    @Test
    public void onlyOneAcquisitionRunsAtATime() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.startAcquisition(0, WALL_MILLIS);
        assertEquals(lease.startAcquisition(100_000, WALL_MILLIS), OptionalLong.empty());
    }

    @Test
    public void noOrderIsEverAllowedWithALeaseTimeOfZero() {
        assertEquals(new OrderLease(0).startAcquisition(0, WALL_MILLIS), OptionalLong.empty());
    }
}
