package org.magnoliavane.balance;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RetryBudgetTest {
    @Test
    public void extraSendsGrowWithRequests() {
        RetryBudget budget = new RetryBudget(0.2, 0, 10_000);
        for (int i = 0; i < 100; i++) {
            budget.countRequest(1000);
        }
        assertEquals(takeAll(budget, 1000, 1), 16);
    }

    @Test
    public void theAllowanceIsSharedByAllNodes() {
        assertEquals(takeAll(new RetryBudget(0.2, 50, 10_000), 0, 1), 40);
        assertEquals(takeAll(new RetryBudget(0.2, 50, 10_000), 0, 4), 10);
    }

    @Test
    public void extraSendsAreForgottenAfterTheWindow() {
        RetryBudget budget = new RetryBudget(0, 10, 10_000);
        assertEquals(takeAll(budget, 0, 1), 8);
        assertFalse(budget.tryAcquire(9000, 1));
        assertTrue(budget.tryAcquire(10_600, 1));
    }

    /** A service that fails everything for a minute: no window may get more than the limit. */
    @Test
    public void noSlidingWindowExceedsTheLimitWhileEverythingFails() {
        RetryBudget budget = new RetryBudget(0.2, 54, 10_000);
        long[] extras = new long[60];
        for (int second = 0; second < 60; second++) {
            for (int i = 0; i < 20; i++) {
                long now = second * 1000L + i * 50;
                budget.countRequest(now);
                while (budget.tryAcquire(now, 7)) {
                    extras[second]++;
                }
            }
        }
        for (int from = 0; from + 10 <= 60; from++) {
            long sum = 0;
            for (int i = from; i < from + 10; i++) {
                sum += extras[i];
            }
            assertTrue(sum <= 0.2 * 200 + 54.0 / 7, "window from second " + from + ": " + sum);
        }
    }

    private static int takeAll(RetryBudget budget, long now, int nodes) {
        int taken = 0;
        while (budget.tryAcquire(now, nodes)) {
            taken++;
        }
        return taken;
    }
}
