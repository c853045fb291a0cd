package org.magnoliavane.router.dispatch;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RepeatedWaitTest {
    /** Deadline of the harness, less the time to the first event and the time to respond. */
    private static final long LATEST_START_MILLIS = 3000 - 80 - 150;

    /** Timers may fire a few milliseconds early or late. */
    private static final long TOLERANCE_MILLIS = 50;

    private DispatchHarness harness;

    @BeforeMethod
    public void startWorkers() throws IOException {
        harness = new DispatchHarness();
    }

    @AfterMethod(alwaysRun = true)
    public void stopWorkers() throws IOException {
        harness.close();
    }

    /** Guards against a prefilled request that is given up early, by the timer of its wait before the prefill. */
    @Test
    public void aRequestThatWaitsAgainAfterItsPrefillIsNotEndedByTheTimerOfItsFirstWait() throws Exception {
        AtomicInteger requested = new AtomicInteger();
        harness.promptTokens = 9000;
        harness.classification =
                w -> w.server().role() == WorkerRole.DECODE ? ResponseKind.NOT_RUN : ResponseKind.VALID;
        harness.reservationService = new ReservationService() {
            @Override
            public Reservation reserve(Demand demand, Consumer<Reply> onReply) {
                // The second one is granted after a first wait, and all later ones are denied.
                onReply.accept(requested.getAndIncrement() == 1 ? Reply.GRANTED : Reply.REJECTED);
                return () -> {};
            }
        };
        long startNanos = System.nanoTime();
        assertEquals(harness.send(WorkerRole.DECODE), "all workers are full");
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(millis >= LATEST_START_MILLIS - TOLERANCE_MILLIS, "given up after " + millis + " ms");
    }
}
