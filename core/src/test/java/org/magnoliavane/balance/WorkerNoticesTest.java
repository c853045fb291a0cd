package org.magnoliavane.balance;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class WorkerNoticesTest {
    private WorkerNotices notices;

    @BeforeMethod
    public void createNotices() {
        notices = new WorkerNotices();
    }

    @Test
    public void onlyANewerStartOfAWorkerEndsItsLeaving() {
        assertTrue(notices.recordLeaving(worker("a", 5, 80), 0));
        assertFalse(notices.recordLeaving(worker("a", 5, 80), 1));
        assertFalse(notices.isUsable(worker("a", 5, 80), 2));
        assertFalse(notices.isUsable(worker("a", 4, 81), 2));
        assertFalse(notices.isUsable(worker("a", 0, 81), 2));
        assertTrue(notices.isUsable(worker("a", 6, 80), 2));
        assertTrue(notices.isUsable(worker("b", 5, 80), 2));
    }

    /** Guards against a late answer of an earlier start that ends the leaving of a later one. */
    @Test
    public void aLateAnnouncementOfAnEarlierStartDoesNotReplaceThatOfALaterOne() {
        notices.recordLeaving(worker("a", 6, 80), 0);
        assertFalse(notices.recordLeaving(worker("a", 5, 80), 1));
        assertFalse(notices.isUsable(worker("a", 6, 80), 2));
    }

    @Test
    public void aWorkerWithoutAStartTimeIsUsableAgainAtAnotherAddressOrWhenItMustHaveEnded() {
        notices.recordLeaving(worker("a", 0, 80), 0);
        assertFalse(notices.isUsable(worker("a", 0, 80), WorkerNotices.LEAVING_RETENTION_MILLIS - 1));
        assertTrue(notices.isUsable(worker("a", 0, 81), 1));
        assertTrue(notices.isUsable(worker("a", 0, 80), WorkerNotices.LEAVING_RETENTION_MILLIS));
        assertTrue(notices.recordLeaving(worker("a", 0, 80), WorkerNotices.LEAVING_RETENTION_MILLIS));
    }

    private static ListedWorker worker(String id, long startedAtMillis, int port) {
        BackendServer server = new BackendServer(id, "s", WorkerRole.PLAIN, "h", port, "z", false);
        return new ListedWorker(server, 1, startedAtMillis);
    }
}
