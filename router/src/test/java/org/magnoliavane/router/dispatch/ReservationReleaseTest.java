package org.magnoliavane.router.dispatch;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
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

public class ReservationReleaseTest {
    /** Time for which the thread that asks for a reservation is delayed; a request takes a few milliseconds. */
    private static final long DELAY_MILLIS = 500;

    private DispatchHarness harness;

    @BeforeMethod
    public void startWorkers() throws IOException {
        harness = new DispatchHarness();
    }

    @AfterMethod(alwaysRun = true)
    public void stopWorkers() throws IOException {
        harness.close();
    }

    /**
     * Guards against a reservation that stays held for good, and a worker that seems full: the request ended before the thread
     * that asked for the reservation knew its handle.
     */
    @Test
    public void theReservationOfARequestThatEndsAtOnceIsReleased() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        AtomicInteger requested = new AtomicInteger();
        harness.reservationService = new ReservationService() {
            @Override
            public Reservation reserve(Demand demand, Consumer<Reply> onReply) {
                if (requested.getAndIncrement() == 0) {
                    // The request then waits, and the thread of the queue asks again.
                    onReply.accept(Reply.REJECTED);
                    return () -> {};
                }
                onReply.accept(Reply.GRANTED);
                delay();
                return released::countDown;
            }
        };
        assertEquals(harness.send(WorkerRole.DECODE), "done");
        assertTrue(released.await(2, TimeUnit.SECONDS), "the reservation is still held");
    }

    /**
     * Guards against streams that are prefilled for a crashed worker: it has no reservations left, so that its owner grants all
     * requests that wait for it.
     */
    @Test
    public void aGrantOfAWorkerThatHasBecomeUnhealthyIsGivenBack() throws Exception {
        List<String> requested = new CopyOnWriteArrayList<>();
        AtomicInteger released = new AtomicInteger();
        harness.reservationService = (demand, onReply) -> {
            requested.add(demand.worker());
            boolean first = requested.size() == 1;
            if (first) {
                harness.loadTracker.suspend(demand.worker(), System.nanoTime() / 1_000_000 + 5000);
            }
            onReply.accept(Reply.GRANTED);
            return first ? released::incrementAndGet : () -> {};
        };
        assertEquals(harness.send(WorkerRole.DECODE), "done");
        assertTrue(released.get() > 0, "the reservation is still held");
        assertTrue(requested.stream().distinct().count() > 1, "no other worker was asked: " + requested);
        assertTrue(harness.getWorkers().stream()
                .noneMatch(w -> w.listed.id().equals(requested.get(0)) && !w.requests.isEmpty()));
    }

    private static void delay() {
        try {
            Thread.sleep(DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
