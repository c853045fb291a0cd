package org.magnoliavane.lease;

import java.util.OptionalLong;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class OrderRightTest {
    private static final long LEASE = 3000;
    private static final long WALL = 1_700_000_000_000L;

    @Test
    public void anAcceptedRecordGivesItsEndAsFencingToken() {
        OrderRight right = new OrderRight(LEASE);
        assertEquals(right.startTry(0, WALL), OptionalLong.of(0));
        assertEquals(right.findFence(5, WALL + 5), OptionalLong.empty());
        right.accepted(1);
        assertEquals(right.findFence(10, WALL + 10), OptionalLong.of(1));
    }

    @Test
    public void whoeverFindsAnotherHolderWaitsLongerThanALeaseAfterTheOthersLastOrder() {
        OrderRight first = new OrderRight(LEASE);
        OrderRight second = new OrderRight(LEASE);
        first.startTry(0, WALL);
        first.accepted(1);
        second.startTry(1, WALL + 1);
        second.refused(1, 2);
        long lastOrder = 0;
        while (first.findFence(lastOrder, WALL + lastOrder).isPresent()) {
            lastOrder++;
        }
        long next = 2;
        while (second.startTry(next, WALL + next).isEmpty()) {
            next++;
        }
        assertTrue(next - lastOrder > LEASE, "gap of " + (next - lastOrder) + " ms");
    }

    @Test
    public void aHolderThatFrozeFindsItsRightGoneByTheTimeOfDay() {
        OrderRight right = new OrderRight(LEASE);
        right.startTry(0, WALL);
        right.accepted(1);
        assertEquals(right.findFence(20, WALL + 6000), OptionalLong.empty());
    }

    @Test
    public void aHolderWhoseTimeOfDayIsSetBackFindsItsRightGone() {
        OrderRight right = new OrderRight(LEASE);
        right.startTry(0, WALL);
        right.accepted(1);
        assertEquals(right.findFence(20, WALL - 6000), OptionalLong.empty());
    }

    @Test
    public void anUnansweredRecordGivesNoRightAndDelaysTheNextTry() {
        OrderRight right = new OrderRight(LEASE);
        right.startTry(0, WALL);
        right.lost(1500);
        assertEquals(right.findFence(1501, WALL + 1501), OptionalLong.empty());
        assertEquals(right.startTry(1500 + LEASE, WALL), OptionalLong.empty());
        assertEquals(right.startTry(1500 + 2 * LEASE, WALL), OptionalLong.of(0));
    }

    @Test
    public void aNodeThatHeardOfTheLastHolderLongAgoTriesAtOnceAndAtTheRightEnd() {
        OrderRight right = new OrderRight(LEASE);
        right.heard(4, 0, 0);
        assertEquals(right.startTry(LEASE, WALL), OptionalLong.empty());
        assertEquals(right.startTry(2 * LEASE, WALL), OptionalLong.of(4));
    }

    @Test
    public void hearingAnOldEndAgainDoesNotProlongTheWait() {
        OrderRight right = new OrderRight(LEASE);
        right.heard(4, 0, 0);
        right.heard(4, 0, 4000);
        right.heard(3, 0, 4100);
        assertEquals(right.startTry(5000, WALL), OptionalLong.of(4));
    }

    @Test
    public void aNodeThatStartsNeedNotWaitForAHolderOfWhomOthersHaveKnownLongEnough() {
        OrderRight right = new OrderRight(LEASE);
        right.heard(4, 60_000, 100);
        assertEquals(right.startTry(101, WALL), OptionalLong.of(4));
    }

    @Test
    public void onlyOneTryRunsAtATime() {
        OrderRight right = new OrderRight(LEASE);
        right.startTry(0, WALL);
        assertEquals(right.startTry(100_000, WALL), OptionalLong.empty());
    }

    @Test
    public void withoutALeaseTimeNoOrderIsEverGiven() {
        assertEquals(new OrderRight(0).startTry(0, WALL), OptionalLong.empty());
    }
}
