package org.magnoliavane.router.dispatch;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Two plain workers with six slots each, two prefill and two decode workers. */
public class SlotTest {
    private DispatchHarness harness;
    private Reservations reservations;

    @BeforeMethod
    public void startWorkers() throws IOException {
        harness = new DispatchHarness();
        reservations = new Reservations();
        harness.reservationService = reservations;
    }

    @AfterMethod(alwaysRun = true)
    public void stopWorkers() throws IOException {
        harness.close();
    }

    @Test
    public void aSmallFleetNeedsNoSlots() throws Exception {
        reportNodes(7);
        assertEquals(harness.send(WorkerRole.PLAIN), "done");
        assertTrue(reservations.demands.isEmpty());
    }

    @Test
    public void anAnsweredRequestReleasesItsSlot() throws Exception {
        reportNodes(66);
        assertEquals(harness.send(WorkerRole.PLAIN), "done");
        assertEquals(reservations.demands.size(), 1);
        assertEquals(reservations.demands.get(0).slots(), 8);
        awaitRelease();
    }

    /** Guards against a worker that seems full for good: each outcome of an exchange must release its slot. */
    @Test
    public void aRequestThatEachWorkerRefusesOrBreaksOffReleasesItsSlots() throws Exception {
        reportNodes(66);
        harness.classification = worker -> ResponseKind.NOT_RUN;
        harness.send(WorkerRole.PLAIN);
        assertEquals(reservations.demands.size(), 2);
        awaitRelease();
        harness.classification = worker -> ResponseKind.UNVERIFIED;
        harness.send(WorkerRole.PLAIN);
        awaitRelease();
    }

    /** Guards against a request that is answered as if it might have run although no worker has received it. */
    @Test
    public void aRequestWithoutASlotIsRefusedAndReachesNoWorker() throws Exception {
        reportNodes(66);
        reservations.replies = demand -> Reply.REJECTED;
        assertEquals(harness.send(WorkerRole.PLAIN), "no worker can serve the request in time");
        awaitRelease();
        assertTrue(harness.getWorkers().stream().allMatch(w -> w.requests.isEmpty()));
    }

    /** Guards against messages to all owners: a request waits at two workers and takes the first slot. */
    @Test
    public void aWaitingRequestAsksASecondOwnerAndWithdrawsFromTheFirst() throws Exception {
        reportNodes(66);
        reservations.replies = demand -> reservations.demands.size() == 1 ? Reply.WAITING : Reply.GRANTED;
        assertEquals(harness.send(WorkerRole.PLAIN), "done");
        assertEquals(reservations.demands.size(), 2);
        awaitRelease();
    }

    /**
     * Guards against a worker that breaks each request off at once, is thus always free, and gets most requests while the
     * others are busy.
     */
    @Test
    public void anUnhealthyWorkerIsNotAskedBecauseTheHealthyOneIsBusy() throws Exception {
        reportNodes(66);
        harness.loadTracker.suspend("PLAIN-1", Long.MAX_VALUE);
        reservations.replies = demand -> Reply.REJECTED;
        assertEquals(harness.send(WorkerRole.PLAIN), "no worker can serve the request in time");
        assertEquals(reservations.demands.stream().map(Demand::worker).toList(), List.of("PLAIN-2"));
    }

    /** Guards against requests that are refused although a worker that failed lately may serve them. */
    @Test
    public void anUnhealthyWorkerIsAskedIfNoneIsHealthy() throws Exception {
        reportNodes(66);
        harness.loadTracker.suspend("PLAIN-1", Long.MAX_VALUE);
        harness.loadTracker.suspend("PLAIN-2", Long.MAX_VALUE);
        assertEquals(harness.send(WorkerRole.PLAIN), "done");
    }

    /** Guards against connections beyond the cap of a worker: 100 for 120 nodes are none to spare, so each uses one. */
    @Test
    public void aNodeUsesNoMoreThanItsShareOfTheConnections() throws Exception {
        reportNodes(120);
        harness.loadTracker.recordStart("PLAIN-1", 0);
        assertEquals(harness.send(WorkerRole.PLAIN), "done");
        assertEquals(reservations.demands.get(0).worker(), "PLAIN-2");
        harness.loadTracker.recordStart("PLAIN-2", 0);
        assertEquals(harness.send(WorkerRole.PLAIN), "no worker of service s is available");
        awaitRelease();
    }

    /** Guards against a silent owner that becomes the way around the owners at which the request waits. */
    @Test
    public void onlyTheFirstOwnerThatIsAskedIsAssumedToGrant() throws Exception {
        reportNodes(66);
        reservations.replies = demand -> reservations.demands.size() == 1 ? Reply.WAITING : Reply.GRANTED;
        assertEquals(harness.send(WorkerRole.PLAIN), "done");
        assertEquals(reservations.demands.stream().map(Demand::assumeGranted).toList(), List.of(true, false));
    }

    /** A prefill asks for the only slot of its worker, and starts without one if it has waited for too long. */
    @Test
    public void aPrefillOfALargeFleetStartsWithOrWithoutASlotAndReleasesIt() throws Exception {
        reportNodes(66);
        assertEquals(harness.send(WorkerRole.DECODE), "done");
        assertEquals(reservations.demands.stream().filter(d -> d.slots() == 1).count(), 1);
        awaitRelease();
        reservations.replies = demand -> demand.slots() == 1 ? Reply.REJECTED : Reply.GRANTED;
        assertEquals(harness.send(WorkerRole.DECODE), "done");
        awaitRelease();
    }

    /** The response may begin before the exchange has ended. */
    private void awaitRelease() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        while (reservations.held.get() > 0 && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertEquals(reservations.held.get(), 0);
    }

    private void reportNodes(int nodes) {
        for (int i = 1; i < nodes; i++) {
            harness.loadTracker.updatePeerLoads("n" + i, Map.of(), System.nanoTime() / 1_000_000);
        }
    }

    private static final class Reservations implements ReservationService {
        final List<Demand> demands = new ArrayList<>();
        final AtomicInteger held = new AtomicInteger();
        Function<Demand, Reply> replies = demand -> Reply.GRANTED;

        @Override
        public synchronized Reservation reserve(Demand demand, Consumer<Reply> onReply) {
            demands.add(demand);
            held.incrementAndGet();
            onReply.accept(replies.apply(demand));
            AtomicInteger unreleased = new AtomicInteger(1);
            return () -> held.addAndGet(-unreleased.getAndSet(0));
        }
    }
}
