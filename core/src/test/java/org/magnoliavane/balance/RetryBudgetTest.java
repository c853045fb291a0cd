package org.magnoliavane.balance;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RetryBudgetTest {
    @Test
    public void theBudgetGrowsWithTheRequests() {
        RetryBudget budget = new RetryBudget(0.2, 0, 10_000);
        for (int i = 0; i < 100; i++) {
            budget.countRequest(1000);
        }
        assertEquals(acquireAll(budget, 1000, 1), 16);
    }

    @Test
    public void theAllowanceIsSharedByAllNodes() {
        assertEquals(acquireAll(new RetryBudget(0.2, 50, 10_000), 0, 1), 40);
        assertEquals(acquireAll(new RetryBudget(0.2, 50, 10_000), 0, 4), 10);
    }

    @Test
    public void extraRequestsNoLongerCountAfterTheWindow() {
        RetryBudget budget = new RetryBudget(0, 10, 10_000);
        assertEquals(acquireAll(budget, 0, 1), 8);
        assertFalse(budget.tryAcquire(9000, 1));
        assertTrue(budget.tryAcquire(10_600, 1));
    }

    /** A service fails all requests for a minute: no window may have more extra requests than the limit. */
    @Test
    public void noSlidingWindowExceedsTheLimitWhileEverythingFails() {
        RetryBudget budget = new RetryBudget(0.2, 54, 10_000);
        long[] extraRequests = new long[60];
        for (int second = 0; second < 60; second++) {
            for (int i = 0; i < 20; i++) {
                long now = second * 1000L + i * 50;
                budget.countRequest(now);
                while (budget.tryAcquire(now, 7)) {
                    extraRequests[second]++;
                }
            }
        }
        for (int from = 0; from + 10 <= 60; from++) {
            long sum = 0;
            for (int i = from; i < from + 10; i++) {
                sum += extraRequests[i];
            }
            assertTrue(sum <= 0.2 * 200 + 54.0 / 7, "window from second " + from + ": " + sum);
        }
    }

    private static int acquireAll(RetryBudget budget, long now, int nodes) {
        int acquired = 0;
        while (budget.tryAcquire(now, nodes)) {
            acquired++;
        }
        return acquired;
    }

    /** Guards against a node that is killed in an outage and spends its share of the allowance twice in one window. */
    @Test
    public void twoRunsOfANodeInOneWindowStayWithinTheAllowance() {
        int nodes = 7;
        RetryBudget killed = new RetryBudget(0, 70, 10_000);
        RetryBudget restarted = RetryBudget.startedAt(0, 70, 10_000, 100_500);
        int spent = 0;
        for (int i = 0; i < 100; i++) {
            spent += killed.tryAcquire(100_000, nodes) ? 1 : 0;
            spent += restarted.tryAcquire(101_000, nodes) ? 1 : 0;
        }
        assertTrue(spent <= 70 / nodes, "spent " + spent);
        assertTrue(restarted.tryAcquire(110_600, nodes));
    }
}
