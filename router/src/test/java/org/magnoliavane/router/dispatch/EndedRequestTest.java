package org.magnoliavane.router.dispatch;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ReservationTable.Reply;
import org.magnoliavane.routing.RequestKind;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a process without memory: the budget counts the body of a request until the request has ended, so nothing may hold
 * it any longer.
 */
public class EndedRequestTest {
    private static final int REQUESTS = 300;
    private static final int BODY_BYTES = 300_000;

    /** Time limit of the requests; timers that are left would hold them for a share of it. */
    private static final int TIMEOUT_MILLIS = 60_000;

    private static final int COLLECTION_MILLIS = 5000;

    /** Number of bodies that may be left whatever the number of requests: the HTTP library keeps one for each of its threads. */
    private static final int MAX_HELD = Runtime.getRuntime().availableProcessors() + 2;

    private final List<WeakReference<byte[]>> bodies = new ArrayList<>();
    private final List<Runnable> callers = new ArrayList<>();
    private DispatchHarness harness;

    @BeforeMethod
    public void startWorkers() throws Exception {
        bodies.clear();
        callers.clear();
        harness = new DispatchHarness();
        harness.timeoutMillis = TIMEOUT_MILLIS;
        harness.targetMillis = TIMEOUT_MILLIS / 4;
        harness.onCaller = callers::add;
        harness.bodies = () -> {
            byte[] body = new byte[BODY_BYTES];
            bodies.add(new WeakReference<>(body));
            return body;
        };
    }

    @AfterMethod(alwaysRun = true)
    public void stopWorkers() throws Exception {
        harness.close();
    }

    @Test
    public void theBodiesOfAnsweredStreamsAreFree() throws Exception {
        sendAndAwait(WorkerRole.DECODE);
        assertBodiesFree();
    }

    @Test
    public void theBodiesOfAnsweredLookupsAreFree() throws Exception {
        harness.plainKind = RequestKind.IDEMPOTENT;
        sendAndAwait(WorkerRole.PLAIN);
        assertBodiesFree();
    }

    @Test
    public void theBodiesOfAnsweredBookingsAreFree() throws Exception {
        sendAndAwait(WorkerRole.PLAIN);
        assertBodiesFree();
    }

    @Test
    public void theBodiesOfBookingsThatEachWorkerRefusesAreFree() throws Exception {
        harness.classification = worker -> ResponseKind.NOT_RUN;
        sendAndAwait(WorkerRole.PLAIN);
        assertBodiesFree();
    }

    @Test
    public void theBodiesOfStreamsWhoseCallersLeaveWhileTheyWaitAreFree() throws Exception {
        harness.reservationService = (demand, onReply) -> {
            onReply.accept(Reply.WAITING);
            return () -> {};
        };
        harness.sendAll(WorkerRole.DECODE, REQUESTS);
        List.copyOf(callers).forEach(Runnable::run);
        assertBodiesFree();
    }

    private void sendAndAwait(WorkerRole role) throws Exception {
        for (CompletableFuture<String> response : harness.sendAll(role, REQUESTS)) {
            response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Counts the bodies that are left when the exchanges have ended and the heap has been collected. */
    private void assertBodiesFree() throws InterruptedException {
        callers.clear();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COLLECTION_MILLIS);
        while (countHeld() > MAX_HELD && System.nanoTime() < end) {
            System.gc();
            Thread.sleep(100);
        }
        assertEquals(bodies.size(), REQUESTS);
        long held = countHeld();
        assertTrue(held <= MAX_HELD, held + " of " + REQUESTS + " bodies in memory after the end of their requests");
    }

    private long countHeld() {
        return bodies.stream().filter(b -> b.get() != null).count();
    }
}
