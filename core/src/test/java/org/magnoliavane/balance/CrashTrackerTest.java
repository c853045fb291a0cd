package org.magnoliavane.balance;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CrashTrackerTest {
    @Test
    public void aContentIsRefusedOnceItHasCrashedThreeWorkers() {
        CrashTracker ledger = new CrashTracker(3);
        ledger.recordCrash(7, "a@1");
        ledger.recordCrash(7, "b@1");
        assertFalse(ledger.isRefused(7));
        ledger.recordCrash(7, "c@1");
        assertTrue(ledger.isRefused(7));
        assertFalse(ledger.isRefused(8));
    }

    @Test
    public void oneCrashThatSeveralNodesTellOfCountsOnce() {
        CrashTracker ledger = new CrashTracker(3);
        assertTrue(ledger.recordCrash(7, "a@1"));
        assertFalse(ledger.recordCrash(7, "a@1"));
        assertEquals(ledger.countCrashes(7), 1);
    }

    @Test
    public void aSecondStartOfTheSameWorkerCountsAgain() {
        CrashTracker ledger = new CrashTracker(3);
        ledger.recordCrash(7, "a@1");
        ledger.recordCrash(7, "a@2");
        assertEquals(ledger.countCrashes(7), 2);
    }

    @Test
    public void theOldestContentIsForgottenWhenThereAreTooMany() {
        CrashTracker ledger = new CrashTracker(1);
        for (long content = 0; content < 5000; content++) {
            ledger.recordCrash(content, "a@1");
        }
        assertFalse(ledger.isRefused(0));
        assertTrue(ledger.isRefused(4999));
    }
}
