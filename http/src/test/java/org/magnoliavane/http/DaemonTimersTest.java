package org.magnoliavane.http;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;

public class DaemonTimersTest {
    /** Guards against a request that ends while the node stops and fails because it can set no timer. */
    @Test
    public void aTaskIsDiscardedAfterTheShutdown() {
        ScheduledThreadPoolExecutor timers = DaemonTimers.open("test", 1);
        timers.shutdownNow();
        assertFalse(timers.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).isDone());
    }
}
