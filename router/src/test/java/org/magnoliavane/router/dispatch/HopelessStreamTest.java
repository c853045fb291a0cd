package org.magnoliavane.router.dispatch;

import java.io.IOException;

import org.magnoliavane.WorkerRole;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class HopelessStreamTest {
    /** The harness expects 50 output tokens within 3 s. */
    private static final double TOO_SLOW_STEP_MILLIS = 100;

    private DispatchHarness harness;

    @BeforeMethod
    public void startWorkers() throws IOException {
        harness = new DispatchHarness();
    }

    @AfterMethod(alwaysRun = true)
    public void stopWorkers() throws IOException {
        harness.close();
    }

    /** Guards against a stream that is aborted at its time limit by a worker that could not end it earlier. */
    @Test
    public void aStreamIsPlacedAtAWorkerThatCanEndItInTime() throws Exception {
        harness.stepTimes = w -> w.id().equals("DECODE-1") ? TOO_SLOW_STEP_MILLIS : 1;
        for (int i = 0; i < 4; i++) {
            assertEquals(harness.send(WorkerRole.DECODE), "done");
        }
        for (DispatchHarness.Worker worker : harness.getWorkers()) {
            assertTrue(!worker.listed.id().equals("DECODE-1") || worker.requests.isEmpty());
        }
    }

    /** Guards against a request that is held for most of its time and then refused. */
    @Test
    public void aStreamThatNoWorkerCanEndInTimeIsRefusedAtOnce() throws Exception {
        harness.stepTimes = w -> TOO_SLOW_STEP_MILLIS;
        long startNanos = System.nanoTime();
        assertEquals(harness.send(WorkerRole.DECODE), "no worker can end the stream in time");
        assertTrue((System.nanoTime() - startNanos) / 1_000_000 < 1000);
    }
}
