package org.magnoliavane.balance;

import java.util.List;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class WorkerRegistryTest {
    private static final long GRACE = 2000;

    @Test
    public void aRemovedListingTakesEffectAtOnceWhileTheStoreIsWell() {
        WorkerRegistry roster = new WorkerRegistry(GRACE);
        roster.put(worker("a", false));
        assertTrue(roster.remove("a", 10_000));
        assertTrue(roster.groupByService().isEmpty());
    }

    @Test
    public void aListingThatLapsedInAnOutageIsKeptUntilItCouldHaveComeBack() {
        WorkerRegistry roster = new WorkerRegistry(GRACE);
        roster.put(worker("a", false));
        roster.recordOutageEnd(10_000);
        assertFalse(roster.remove("a", 10_100));
        assertEquals(roster.removeExpired(11_900), List.of());
        assertEquals(roster.groupByService().get("s").size(), 1);
        assertEquals(roster.removeExpired(12_000), List.of("a"));
        assertTrue(roster.groupByService().isEmpty());
    }

    @Test
    public void aListingThatComesBackInTimeStays() {
        WorkerRegistry roster = new WorkerRegistry(GRACE);
        roster.put(worker("a", false));
        roster.recordOutageEnd(10_000);
        roster.remove("a", 10_100);
        roster.put(worker("a", false));
        assertEquals(roster.removeExpired(20_000), List.of());
        assertEquals(roster.groupByService().get("s").size(), 1);
    }

    @Test
    public void aWorkerThatWasLeavingIsGoneAlsoAfterAnOutage() {
        WorkerRegistry roster = new WorkerRegistry(GRACE);
        roster.put(worker("a", true));
        roster.recordOutageEnd(10_000);
        assertTrue(roster.remove("a", 10_100));
    }

    @Test
    public void anotherStartOrAddressIsNotTheSameStart() {
        ListedWorker first = worker("a", false);
        assertTrue(first.isSameIncarnation(worker("a", true)));
        assertFalse(first.isSameIncarnation(new ListedWorker(first.server(), 6, 2)));
    }

    private static ListedWorker worker(String id, boolean leaving) {
        return new ListedWorker(new BackendServer(id, "s", WorkerRole.PLAIN, "127.0.0.1", 80, "z", leaving), 6, 1);
    }
}
