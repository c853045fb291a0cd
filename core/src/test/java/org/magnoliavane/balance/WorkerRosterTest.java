package org.magnoliavane.balance;

import java.util.List;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class WorkerRosterTest {
    private static final long GRACE = 2000;

    @Test
    public void aRemovedListingTakesEffectAtOnceWhileTheStoreIsWell() {
        WorkerRoster roster = new WorkerRoster(GRACE);
        roster.put(worker("a", false));
        assertTrue(roster.remove("a", 10_000));
        assertTrue(roster.toServices().isEmpty());
    }

    @Test
    public void aListingThatLapsedInAnOutageIsKeptUntilItCouldHaveComeBack() {
        WorkerRoster roster = new WorkerRoster(GRACE);
        roster.put(worker("a", false));
        roster.outageEnded(10_000);
        assertFalse(roster.remove("a", 10_100));
        assertEquals(roster.expire(11_900), List.of());
        assertEquals(roster.toServices().get("s").size(), 1);
        assertEquals(roster.expire(12_000), List.of("a"));
        assertTrue(roster.toServices().isEmpty());
    }

    @Test
    public void aListingThatComesBackInTimeStays() {
        WorkerRoster roster = new WorkerRoster(GRACE);
        roster.put(worker("a", false));
        roster.outageEnded(10_000);
        roster.remove("a", 10_100);
        roster.put(worker("a", false));
        assertEquals(roster.expire(20_000), List.of());
        assertEquals(roster.toServices().get("s").size(), 1);
    }

    @Test
    public void aWorkerThatWasLeavingIsGoneAlsoAfterAnOutage() {
        WorkerRoster roster = new WorkerRoster(GRACE);
        roster.put(worker("a", true));
        roster.outageEnded(10_000);
        assertTrue(roster.remove("a", 10_100));
    }

    @Test
    public void anotherStartOrAddressIsNotTheSameStart() {
        ListedWorker first = worker("a", false);
        assertTrue(first.isSameStart(worker("a", true)));
        assertFalse(first.isSameStart(new ListedWorker(first.server(), 6, 2)));
    }

    private static ListedWorker worker(String id, boolean leaving) {
        return new ListedWorker(new BackendServer(id, "s", WorkerRole.PLAIN, "127.0.0.1", 80, "z", leaving), 6, 1);
    }
}
