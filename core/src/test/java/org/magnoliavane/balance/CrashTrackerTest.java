package org.magnoliavane.balance;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CrashTrackerTest {
    @Test
    public void aContentIsRefusedOnceItHasCrashedThreeWorkers() {
        CrashTracker tracker = new CrashTracker(3);
        tracker.recordCrash(7, "a@1");
        tracker.recordCrash(7, "b@1");
        assertFalse(tracker.isRefused(7));
        tracker.recordCrash(7, "c@1");
        assertTrue(tracker.isRefused(7));
        assertFalse(tracker.isRefused(8));
    }

    @Test
    public void aCrashThatSeveralNodesReportCountsOnce() {
        CrashTracker tracker = new CrashTracker(3);
        assertTrue(tracker.recordCrash(7, "a@1"));
        assertFalse(tracker.recordCrash(7, "a@1"));
        assertEquals(tracker.countCrashes(7), 1);
    }

    @Test
    public void aSecondStartOfTheSameWorkerCountsAgain() {
        CrashTracker tracker = new CrashTracker(3);
        tracker.recordCrash(7, "a@1");
        tracker.recordCrash(7, "a@2");
        assertEquals(tracker.countCrashes(7), 2);
    }

    @Test
    public void theOldestContentIsEvictedWhenTheLimitIsExceeded() {
        CrashTracker tracker = new CrashTracker(1);
        for (long content = 0; content < 5000; content++) {
            tracker.recordCrash(content, "a@1");
        }
        assertFalse(tracker.isRefused(0));
        assertTrue(tracker.isRefused(4999));
    }
}
