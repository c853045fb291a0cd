package org.magnoliavane.balance;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CrashLedgerTest {
    @Test
    public void aContentIsRefusedOnceItHasCrashedThreeWorkers() {
        CrashLedger tracker = new CrashLedger(3);
        tracker.record(7, "a@1");
        tracker.record(7, "b@1");
        assertFalse(tracker.isRefused(7));
        tracker.record(7, "c@1");
        assertTrue(tracker.isRefused(7));
        assertFalse(tracker.isRefused(8));
    }

    @Test
    public void aCrashThatSeveralNodesReportCountsOnce() {
        CrashLedger tracker = new CrashLedger(3);
        assertTrue(tracker.record(7, "a@1"));
        assertFalse(tracker.record(7, "a@1"));
        assertEquals(tracker.countCrashes(7), 1);
    }

    @Test
    public void aSecondStartOfTheSameWorkerCountsAgain() {
        CrashLedger tracker = new CrashLedger(3);
        tracker.record(7, "a@1");
        tracker.record(7, "a@2");
        assertEquals(tracker.countCrashes(7), 2);
    }

    @Test
    public void theOldestContentIsEvictedWhenTheLimitIsExceeded() {
        CrashLedger tracker = new CrashLedger(1);
        for (long content = 0; content < 5000; content++) {
            tracker.record(content, "a@1");
        }
        assertFalse(tracker.isRefused(0));
        assertTrue(tracker.isRefused(4999));
    }
}
