package org.magnoliavane.router;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.http.DaemonTimers;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class LoopFailuresTest {
    private static final int ROUNDS = 3;
    private static final long TIMEOUT_SECONDS = 10;

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {{new IllegalStateException("test")}, {new StackOverflowError("test")}};
    }

    /** Guards against a loop that ends for good because one round has thrown. */
    @Test(dataProvider = "failures")
    public void aLoopGoesOnAfterAFailedRound(Throwable failure) throws InterruptedException {
        MetricRegistry metrics = new MetricRegistry();
        ScheduledExecutorService timers = DaemonTimers.open("test", 1);
        CountDownLatch rounds = new CountDownLatch(ROUNDS);
        try {
            LoopFailures.create(metrics).repeat("loop", timers, 1, () -> {
                rounds.countDown();
                if (failure instanceof Error error) {
                    throw error;
                }
                throw (RuntimeException) failure;
            });
            assertTrue(rounds.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertTrue(metrics.counter("loops.loop.failed").getCount() >= ROUNDS - 1);
        } finally {
            timers.shutdownNow();
        }
    }
}
