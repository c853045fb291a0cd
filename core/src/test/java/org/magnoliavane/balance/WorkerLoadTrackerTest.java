package org.magnoliavane.balance;

import org.magnoliavane.routing.EngineProfile;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
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

    /** Pattern: engines with few slots and much memory, which are full while most of their memory is free. */
    @Test
    public void aDecodeWorkerIsFullyUtilizedWhenItsSlotsOrItsMemoryAreInUse() {
        EngineProfile engine = new EngineProfile(12, 100_000, 500);
        WorkerLoadTracker tracker = new WorkerLoadTracker(() -> {});
        for (int i = 0; i < 12; i++) {
            tracker.recordStart("slots", 2000);
        }
        tracker.recordStart("memory", engine.getUsableTokens());
        assertEquals(tracker.getDecodeUtilization("slots", engine, 0), 1.0);
        assertEquals(tracker.getDecodeUtilization("memory", engine, 0), 1.0);
        assertEquals(tracker.getDecodeUtilization("idle", engine, 0), 0.0);
    }
}
