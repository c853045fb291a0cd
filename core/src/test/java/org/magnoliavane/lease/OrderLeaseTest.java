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
        lease.completeAcquisition(1, 0, 5);
        assertEquals(lease.findFencingToken(10, WALL_MILLIS + 10), OptionalLong.of(1));
    }

    @Test
    public void aNodeThatFindsAnotherHolderWaitsMoreThanOneLeaseAfterThatHoldersLastOrder() {
        OrderLease first = new OrderLease(LEASE_MILLIS);
        OrderLease second = new OrderLease(LEASE_MILLIS);
        first.startAcquisition(0, WALL_MILLIS);
        first.completeAcquisition(1, 0, 1);
        second.startAcquisition(1, WALL_MILLIS + 1);
        second.rejectAcquisition(1, 0, 2);
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
        lease.completeAcquisition(1, 0, 5);
        assertEquals(lease.findFencingToken(20, WALL_MILLIS + 6000), OptionalLong.empty());
    }

    @Test
    public void aHolderWhoseWallClockIsSetBackLosesTheLease() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.startAcquisition(0, WALL_MILLIS);
        lease.completeAcquisition(1, 0, 5);
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
        lease.observeLogEnd(4, 0, 0, 0);
        assertEquals(lease.startAcquisition(LEASE_MILLIS, WALL_MILLIS), OptionalLong.empty());
        assertEquals(lease.startAcquisition(2 * LEASE_MILLIS, WALL_MILLIS), OptionalLong.of(4));
    }

    @Test
    public void repeatedReportsOfAKnownEndDoNotProlongTheWait() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.observeLogEnd(4, 0, 0, 0);
        lease.observeLogEnd(4, 0, 0, 4000);
        lease.observeLogEnd(3, 0, 0, 4100);
        assertEquals(lease.startAcquisition(5000, WALL_MILLIS), OptionalLong.of(4));
    }

    @Test
    public void aStartingNodeDoesNotWaitForAHolderThatOthersHaveKnownLongEnough() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.observeLogEnd(4, 0, 60_000, 100);
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

    /** Guards against a worker that refuses all orders, or takes an outdated one, after the log has moved back. */
    @Test
    public void fencingTokensIncreaseThoughARollbackMovesTheLogBack() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.startAcquisition(0, WALL_MILLIS);
        lease.completeAcquisition(9, 0, 5);
        long first = lease.findFencingToken(5, WALL_MILLIS).orElseThrow();
        lease.observeEra(1, 100);
        assertEquals(lease.findFencingToken(100, WALL_MILLIS), OptionalLong.empty());
        assertEquals(lease.startAcquisition(10_000, WALL_MILLIS), OptionalLong.of(0));
        lease.rejectAcquisition(4, 1, 10_001);
        assertEquals(lease.startAcquisition(20_000, WALL_MILLIS), OptionalLong.of(4));
        lease.completeAcquisition(5, 1, 20_001);
        long second = lease.findFencingToken(20_001, WALL_MILLIS).orElseThrow();
        assertEquals(first, 9);
        assertEquals(second, (1L << 32) + 5);
    }

    /** Guards against two holders: the record may have been accepted before the rollback that has removed it. */
    @Test
    public void aRecordThatIsAnsweredInANewerEpochYieldsNoLease() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.startAcquisition(0, WALL_MILLIS);
        lease.completeAcquisition(1, 1, 5);
        assertEquals(lease.findFencingToken(5, WALL_MILLIS), OptionalLong.empty());
        assertEquals(lease.startAcquisition(LEASE_MILLIS, WALL_MILLIS), OptionalLong.empty());
        assertEquals(lease.startAcquisition(10_000, WALL_MILLIS), OptionalLong.of(1));
    }

    /** Guards against a lease whose record the rollback has removed, when the node learns of the rollback before the answer. */
    @Test
    public void aRecordThatIsAnsweredInTheEpochBeforeARollbackYieldsNoLease() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.startAcquisition(0, WALL_MILLIS);
        lease.observeEra(1, 3);
        lease.completeAcquisition(1, 0, 5);
        assertEquals(lease.findFencingToken(5, WALL_MILLIS), OptionalLong.empty());
        assertEquals(lease.getLogEnd(), 0);
    }

    /** Guards against two holders at the same end of the log, one of each epoch. */
    @Test
    public void twoRecordsAtTheSameEndOfTwoEpochsYieldLeasesMoreThanOneLeaseApart() {
        OrderLease first = new OrderLease(LEASE_MILLIS);
        OrderLease second = new OrderLease(LEASE_MILLIS);
        first.startAcquisition(0, WALL_MILLIS);
        first.completeAcquisition(1, 0, 1);
        second.observeEra(1, 2);
        long lastOrderMillis = 0;
        while (first.findFencingToken(lastOrderMillis, WALL_MILLIS + lastOrderMillis)
                .isPresent()) {
            lastOrderMillis++;
        }
        long nextMillis = 2;
        while (second.startAcquisition(nextMillis, WALL_MILLIS + nextMillis).isEmpty()) {
            nextMillis++;
        }
        second.completeAcquisition(1, 1, nextMillis);
        assertTrue(nextMillis - lastOrderMillis > LEASE_MILLIS, "gap of " + (nextMillis - lastOrderMillis) + " ms");
        assertEquals(second.findFencingToken(nextMillis, WALL_MILLIS + nextMillis), OptionalLong.of((1L << 32) + 1));
    }

    /** Guards against a claim at an end that the log has reached a second time, when another holder has just claimed there. */
    @Test
    public void theEndThatANodeKnowsFromAnOlderEpochIsNotUsed() {
        OrderLease lease = new OrderLease(LEASE_MILLIS);
        lease.observeLogEnd(7, 0, 60_000, 0);
        lease.observeLogEnd(3, 1, 0, 100);
        lease.observeLogEnd(9, 0, 60_000, 200);
        assertEquals(lease.startAcquisition(4000, WALL_MILLIS), OptionalLong.empty());
        assertEquals(lease.startAcquisition(5000, WALL_MILLIS), OptionalLong.of(3));
    }
}
