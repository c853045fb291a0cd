package org.magnoliavane.router.dispatch;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.magnoliavane.WorkerRole;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what nodes do about a worker that was restarted under another id while its old listing could not be replaced. */
public class MisdirectedRequestTest {
    /** A store that cannot be read leaves the old listing in place for longer than a worker takes to restart. */
    private static final long LIST_OUTAGE_MILLIS = 3000;

    private DispatchHarness harness;

    @BeforeMethod
    public void startWorkers() throws IOException {
        harness = new DispatchHarness();
    }

    @AfterMethod(alwaysRun = true)
    public void stopWorkers() throws IOException {
        harness.close();
    }

    /** Guards against prefills that each node loses in turn because it sends the decode to the same ended worker. */
    @Test
    public void aWorkerWhoseAddressAnotherHasIsSuspendedAtAllNodes() throws Exception {
        Map<String, Long> reported = new ConcurrentHashMap<>();
        harness.onUnreachable = reported::put;
        harness.list(harness.getWorkers().stream()
                .map(w -> w.listed)
                .filter(w -> w.server().role() != WorkerRole.PLAIN)
                .toList());
        harness.classification = w -> w.id().startsWith("DECODE") ? ResponseKind.WRONG_WORKER : ResponseKind.VALID;
        assertEquals(harness.send(WorkerRole.DECODE), "no worker is available");
        long now = System.nanoTime() / 1_000_000;
        for (String worker : new String[] {"DECODE-1", "DECODE-2"}) {
            assertTrue(reported.getOrDefault(worker, 0L) > now + LIST_OUTAGE_MILLIS, reported.toString());
            assertTrue(harness.loadTracker.isUnhealthy(worker, now + LIST_OUTAGE_MILLIS), worker);
        }
    }
}
