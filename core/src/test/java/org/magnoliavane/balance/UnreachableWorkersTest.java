package org.magnoliavane.balance;

import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests reports of unreachable workers. Pattern: several workers of a large deployment go dark at the same time. */
public class UnreachableWorkersTest {
    private static final int WORKERS = 56;

    private final UnreachableWorkers unreachable = new UnreachableWorkers();

    @Test
    public void aWorkerIsReportedUntilItsSuspensionEnds() {
        UnreachableWorkers workers = new UnreachableWorkers();
        assertTrue(workers.record("w1", 1500, 0));
        assertFalse(workers.record("w1", 1600, 100));
        assertEquals(workers.getReported(WORKERS, 600), Map.of("w1", 1000L));
        assertEquals(workers.getReported(WORKERS, 1600), Map.of());
        assertTrue(workers.record("w1", 3200, 1700));
    }

    @Test
    public void aFifthOfTheWorkersMayBeUnreachable() {
        UnreachableWorkers workers = recordUnreachable(WORKERS / 5);
        assertEquals(workers.getReported(WORKERS, 0).size(), WORKERS / 5);
    }

    /** Guards against a disconnected node that makes all others suspend the workers that only it cannot reach. */
    @Test
    public void aNodeThatReachesFewWorkersReportsNone() {
        assertEquals(recordUnreachable(WORKERS / 2).getReported(WORKERS, 0), Map.of());
    }

    @Test
    public void theOnlyUnreachableWorkerOfThreeIsReported() {
        unreachable.record("w1", 1500, 0);
        assertEquals(unreachable.getReported(3, 0).size(), 1);
    }

    private static UnreachableWorkers recordUnreachable(int count) {
        UnreachableWorkers workers = new UnreachableWorkers();
        for (int i = 0; i < count; i++) {
            workers.record("w" + i, 1500, 0);
        }
        return workers;
    }
}
