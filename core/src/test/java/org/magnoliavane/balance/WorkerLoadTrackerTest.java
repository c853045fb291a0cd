package org.magnoliavane.balance;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class WorkerLoadTrackerTest {
    private WorkerLoadTracker tracker;

    @BeforeMethod
    public void createTracker() {
        tracker = new WorkerLoadTracker(() -> {});
    }

    /** Guards against a worker that is not used for half a minute after it has changed its role. */
    @Test
    public void aStaleReportOfARoleChangeSuspendsAWorkerOnlyWhileTheReportIsValid() {
        tracker.suspendByPeerReport("changed", 22_000, 0);
        assertTrue(tracker.isUnhealthy("changed", 1900));
        assertFalse(tracker.isUnhealthy("changed", 2100));
    }

    @Test
    public void aWorkerThatIsListedWithItsNewRoleIsUsedImmediately() {
        tracker.suspend("worker", 30_000);
        tracker.resume("worker");
        assertFalse(tracker.isUnhealthy("worker", 1));
    }

    @Test
    public void aWorkerThatFailsMostRequestsIsUnhealthyUntilItsFailureRateHasDecayed() {
        for (int i = 0; i < 4; i++) {
            tracker.recordOutcome("worker", 1, 0);
        }
        assertTrue(tracker.isUnhealthy("worker", 0));
        assertFalse(tracker.isUnhealthy("worker", 12_000));
    }
}
