package org.magnoliavane.balance;

import java.util.List;

import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class WorkerRosterTest {
    private static final long GRACE_MILLIS = 2000;

    @Test
    public void aRemovalTakesEffectImmediatelyWithoutAnOutage() {
        WorkerRoster registry = new WorkerRoster(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        assertTrue(registry.remove("a", 10_000));
        assertTrue(registry.toServices().isEmpty());
    }

    @Test
    public void anEntryThatExpiredInAnOutageIsKeptForTheGracePeriod() {
        WorkerRoster registry = new WorkerRoster(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.outageEnded(10_000);
        assertFalse(registry.remove("a", 10_100));
        assertEquals(registry.expire(11_900), List.of());
        assertEquals(registry.toServices().get("s").size(), 1);
        assertEquals(registry.expire(12_000), List.of("a"));
        assertTrue(registry.toServices().isEmpty());
    }

    @Test
    public void anEntryThatReappearsWithinTheGracePeriodIsKept() {
        WorkerRoster registry = new WorkerRoster(GRACE_MILLIS);
        registry.put(createWorker("a", false));
        registry.outageEnded(10_000);
        registry.remove("a", 10_100);
        registry.put(createWorker("a", false));
        assertEquals(registry.expire(20_000), List.of());
        assertEquals(registry.toServices().get("s").size(), 1);
    }

    @Test
    public void aDrainingWorkerIsRemovedImmediatelyAlsoAfterAnOutage() {
        WorkerRoster registry = new WorkerRoster(GRACE_MILLIS);
        registry.put(createWorker("a", true));
        registry.outageEnded(10_000);
        assertTrue(registry.remove("a", 10_100));
    }

    @Test
    public void anotherStartTimeIsNotTheSameIncarnation() {
        ListedWorker first = createWorker("a", false);
        assertTrue(first.isSameStart(createWorker("a", true)));
        assertFalse(first.isSameStart(new ListedWorker(first.server(), 6, 2)));
    }

    private static ListedWorker createWorker(String id, boolean draining) {
        return new ListedWorker(new BackendServer(id, "s", WorkerRole.PLAIN, "127.0.0.1", 80, "z", draining), 6, 1);
    }
}
