package org.magnoliavane.lease;

import java.util.OptionalLong;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class OrderLeaseTest {
    private static final long LEASE = 3000;
    private static final long WALL = 1_700_000_000_000L;

    @Test
    public void anAcceptedRecordGivesItsEndAsFencingToken() {
        OrderLease right = new OrderLease(LEASE);
        assertEquals(right.startAcquisition(0, WALL), OptionalLong.of(0));
        assertEquals(right.findFencingToken(5, WALL + 5), OptionalLong.empty());
        right.completeAcquisition(1);
        assertEquals(right.findFencingToken(10, WALL + 10), OptionalLong.of(1));
    }

    @Test
    public void whoeverFindsAnotherHolderWaitsLongerThanALeaseAfterTheOthersLastOrder() {
        OrderLease first = new OrderLease(LEASE);
        OrderLease second = new OrderLease(LEASE);
        first.startAcquisition(0, WALL);
        first.completeAcquisition(1);
        second.startAcquisition(1, WALL + 1);
        second.rejectAcquisition(1, 2);
        long lastOrder = 0;
        while (first.findFencingToken(lastOrder, WALL + lastOrder).isPresent()) {
            lastOrder++;
        }
        long next = 2;
        while (second.startAcquisition(next, WALL + next).isEmpty()) {
            next++;
        }
        assertTrue(next - lastOrder > LEASE, "gap of " + (next - lastOrder) + " ms");
    }

    @Test
    public void aHolderThatFrozeFindsItsRightGoneByTheTimeOfDay() {
        OrderLease right = new OrderLease(LEASE);
        right.startAcquisition(0, WALL);
        right.completeAcquisition(1);
        assertEquals(right.findFencingToken(20, WALL + 6000), OptionalLong.empty());
    }

    @Test
    public void aHolderWhoseTimeOfDayIsSetBackFindsItsRightGone() {
        OrderLease right = new OrderLease(LEASE);
        right.startAcquisition(0, WALL);
        right.completeAcquisition(1);
        assertEquals(right.findFencingToken(20, WALL - 6000), OptionalLong.empty());
    }

    @Test
    public void anUnansweredRecordGivesNoRightAndDelaysTheNextTry() {
        OrderLease right = new OrderLease(LEASE);
        right.startAcquisition(0, WALL);
        right.abandonAcquisition(1500);
        assertEquals(right.findFencingToken(1501, WALL + 1501), OptionalLong.empty());
        assertEquals(right.startAcquisition(1500 + LEASE, WALL), OptionalLong.empty());
        assertEquals(right.startAcquisition(1500 + 2 * LEASE, WALL), OptionalLong.of(0));
    }

    @Test
    public void aNodeThatHeardOfTheLastHolderLongAgoTriesAtOnceAndAtTheRightEnd() {
        OrderLease right = new OrderLease(LEASE);
        right.observeLogEnd(4, 0, 0);
        assertEquals(right.startAcquisition(LEASE, WALL), OptionalLong.empty());
        assertEquals(right.startAcquisition(2 * LEASE, WALL), OptionalLong.of(4));
    }

    @Test
    public void hearingAnOldEndAgainDoesNotProlongTheWait() {
        OrderLease right = new OrderLease(LEASE);
        right.observeLogEnd(4, 0, 0);
        right.observeLogEnd(4, 0, 4000);
        right.observeLogEnd(3, 0, 4100);
        assertEquals(right.startAcquisition(5000, WALL), OptionalLong.of(4));
    }

    @Test
    public void aNodeThatStartsNeedNotWaitForAHolderOfWhomOthersHaveKnownLongEnough() {
        OrderLease right = new OrderLease(LEASE);
        right.observeLogEnd(4, 60_000, 100);
        assertEquals(right.startAcquisition(101, WALL), OptionalLong.of(4));
    }

    @Test
    public void onlyOneTryRunsAtATime() {
        OrderLease right = new OrderLease(LEASE);
        right.startAcquisition(0, WALL);
        assertEquals(right.startAcquisition(100_000, WALL), OptionalLong.empty());
    }

    @Test
    public void withoutALeaseTimeNoOrderIsEverGiven() {
        assertEquals(new OrderLease(0).startAcquisition(0, WALL), OptionalLong.empty());
    }
}
