package org.magnoliavane.balance;

import java.util.List;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class WorkerRegistryTest {
    private static final long GRACE_MILLIS = 2000;

    @Test
    public void aRemovalTakesEffectImmediatelyWithoutAnOutage() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        assertTrue(registry.remove("a", 10_000));
        assertTrue(registry.groupByService().isEmpty());
    }

    @Test
    public void anEntryThatExpiredInAnOutageIsKeptForTheGracePeriod() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.recordOutageEnd(10_000);
        assertFalse(registry.remove("a", 10_100));
        assertEquals(registry.removeExpired(11_900), List.of());
        assertEquals(registry.groupByService().get("s").size(), 1);
        assertEquals(registry.removeExpired(12_000), List.of("a"));
        assertTrue(registry.groupByService().isEmpty());
    }

    @Test
    public void anEntryThatReappearsWithinTheGracePeriodIsKept() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.recordOutageEnd(10_000);
        registry.remove("a", 10_100);
        registry.put(createWorker("a", false));
        assertEquals(registry.removeExpired(20_000), List.of());
        assertEquals(registry.groupByService().get("s").size(), 1);
    }

    @Test
    public void aDrainingWorkerIsRemovedImmediatelyAlsoAfterAnOutage() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", true));
        registry.recordOutageEnd(10_000);
        assertTrue(registry.remove("a", 10_100));
    }

    /** Pattern: a node that was cut off learns from the others that the store had no outage. */
    @Test
    public void aScheduledRemovalTakesEffectWhenTheOutageTurnsOutToBeEarlier() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.recordOutageEnd(10_000);
        registry.remove("a", 10_100);
        registry.recordOutageEnd(1000);
        assertEquals(registry.removeExpired(10_200), List.of("a"));
    }

    @Test
    public void anotherStartTimeIsNotTheSameIncarnation() {
        ListedWorker first = createWorker("a", false);
        assertTrue(first.isSameIncarnation(createWorker("a", true)));
        assertFalse(first.isSameIncarnation(new ListedWorker(first.server(), 6, 2)));
    }

    private static ListedWorker createWorker(String id, boolean draining) {
        return new ListedWorker(new BackendServer(id, "s", WorkerRole.PLAIN, "127.0.0.1", 80, "z", draining), 6, 1);
    }

    /** Guards against requests to a worker that had left and returns by its old entry in the copy. */
    @Test
    public void afterARollbackTheEntryOfAWorkerThatHadLeftIsHeldUntilTheWorkerWritesIt() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.remove("a", 5000);
        registry.recordRollback(10_000);
        assertTrue(registry.reconcile(createWorker("a", false)).isEmpty());
        assertTrue(registry.isHeld("a"));
        assertTrue(registry.groupByService().isEmpty());
        registry.put(createWorker("a", false));
        assertFalse(registry.hasHeld());
        assertEquals(registry.groupByService().get("s").size(), 1);
    }

    /** Guards against requests to a worker that drains, because the copy is older than its notice. */
    @Test
    public void afterARollbackADrainingWorkerStaysDrainingThoughItsOldEntrySaysReady() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", true));
        registry.recordRollback(10_000);
        assertTrue(registry.reconcile(createWorker("a", false)).isEmpty());
        assertTrue(registry.groupByService().get("s").get(0).server().leaving());
        assertTrue(registry.hasHeld());
    }

    /** Guards against a notice that is ignored because it was written between the rollback and the snapshot. */
    @Test
    public void afterARollbackANoticeInTheSnapshotCounts() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.recordRollback(10_000);
        assertTrue(registry.reconcile(createWorker("a", true))
                .orElseThrow()
                .server()
                .leaving());
    }

    /** Guards against a running worker that is dropped because the copy lacks its entry, and one that is kept by each rollback. */
    @Test
    public void aWorkerThatTheSnapshotAfterARollbackLacksIsKeptForTheGracePeriod() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.recordRollback(10_000);
        assertFalse(registry.removeMissing("a", 10_000));
        registry.recordOutageEnd(4000);
        assertEquals(registry.removeExpired(11_900), List.of());
        registry.recordRollback(11_900);
        assertFalse(registry.removeMissing("a", 11_900));
        assertEquals(registry.removeExpired(12_000), List.of("a"));
    }

    /** Guards against a store whose content is read by each node itself for ever, for a worker that is gone. */
    @Test
    public void aHeldEntryEndsWithItsRemovalOrWithTheNextRollback() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.remove("a", 5000);
        registry.recordRollback(10_000);
        registry.reconcile(createWorker("a", false));
        registry.remove("a", 11_000);
        assertFalse(registry.hasHeld());
        registry.reconcile(createWorker("a", false));
        registry.recordRollback(12_000);
        assertFalse(registry.hasHeld());
    }

    /** Guards against a restarted worker that is not used because its id is known to have left. */
    @Test
    public void aNewerStartInTheSnapshotAfterARollbackIsUsed() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.remove("a", 5000);
        registry.recordRollback(10_000);
        ListedWorker restarted = new ListedWorker(createWorker("a", false).server(), 6, 99_999);
        assertEquals(registry.reconcile(restarted).orElseThrow(), restarted);
    }

    /** Guards against requests to a worker that had left before this node started, and whose entry is in the copy. */
    @Test
    public void afterARollbackTheEntryOfAnUnknownWorkerIsHeld() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.recordRollback(10_000);
        assertTrue(registry.reconcile(createWorker("a", false)).isEmpty());
        assertTrue(registry.hasHeld());
    }

    /** Guards against a running worker whose old renewal in the copy lets its entry expire, and one that has left and is used. */
    @Test
    public void aRemovalThatIsWrittenAfterARollbackTakesEffectBeforeTheEndOfTheGracePeriod() {
        WorkerRegistry registry = new WorkerRegistry(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.recordRollback(10_000);
        assertFalse(registry.remove("a", 10_100));
        assertEquals(registry.removeExpired(11_400), List.of());
        assertEquals(registry.removeExpired(11_500), List.of("a"));
    }
}
