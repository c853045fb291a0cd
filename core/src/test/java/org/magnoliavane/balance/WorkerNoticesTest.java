package org.magnoliavane.balance;

import java.util.List;
import java.util.OptionalLong;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
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

    @Test
    public void aWorkerIsClosedForTheLongestTimeThatItStated() {
        assertEquals(notices.close(worker("a", 5, 80), 2000, 0), OptionalLong.of(2000));
        assertTrue(notices.close(worker("a", 5, 80), 500, 100).isEmpty());
        assertFalse(notices.isUsable(worker("a", 5, 80), 1999));
        assertTrue(notices.isUsable(worker("a", 5, 80), 2000));
    }

    @Test
    public void onlyANewerStartOfAWorkerOpensItEarly() {
        notices.close(worker("a", 5, 80), 2000, 0);
        assertFalse(notices.isUsable(worker("a", 4, 81), 1));
        assertTrue(notices.isUsable(worker("a", 6, 80), 1));
        notices.close(worker("a", 6, 80), 1000, 1);
        assertTrue(notices.close(worker("a", 5, 80), 9000, 2).isEmpty());
        assertTrue(notices.isUsable(worker("a", 6, 80), 1001));
    }

    /** Guards against a faulty worker that closes itself for good, and against an overflow that opens it. */
    @Test
    public void aWorkerThatStatesAnyTimeIsOpenAgainAfterTheLongestTime() {
        notices.close(worker("a", 5, 80), Long.MAX_VALUE, 10);
        assertFalse(notices.isUsable(worker("a", 5, 80), WorkerNotices.MAX_CLOSED_MILLIS));
        assertTrue(notices.isUsable(worker("a", 5, 80), WorkerNotices.MAX_CLOSED_MILLIS + 10));
    }

    @Test
    public void theSoonestTimeIsFoundOnlyIfAllWorkersThatStayAreClosed() {
        ListedWorker first = worker("a", 5, 80);
        ListedWorker second = worker("b", 5, 80);
        ListedWorker leaving = worker("c", 5, 80);
        notices.recordLeaving(leaving, 0);
        notices.close(first, 2000, 0);
        assertTrue(
                notices.findAllClosedMillis(List.of(first, second, leaving), 0).isEmpty());
        notices.close(second, 1500, 0);
        assertEquals(notices.findAllClosedMillis(List.of(first, second, leaving), 100), OptionalLong.of(1400));
        assertTrue(notices.findAllClosedMillis(List.of(leaving), 0).isEmpty());
    }

    private static ListedWorker worker(String id, long startedAtMillis, int port) {
        BackendServer server = new BackendServer(id, "s", WorkerRole.PLAIN, "h", port, "z", false);
        return new ListedWorker(server, 1, startedAtMillis);
    }
}
