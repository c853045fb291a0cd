package org.magnoliavane.router.dispatch;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.peer.PeerChannel;
import org.magnoliavane.router.peer.PeerReservationService;
import org.magnoliavane.router.peer.PeerTable;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.routing.EngineProfile;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Measures how deep the calls of one thread nest while capacity goes to many waiting requests at a node that owns the
 * reservations of all workers. The thread that frees the capacity has the stack of a deployment.
 */
public class GrantDepthTest {
    private static final long STACK_BYTES = 256 << 10;
    private static final int FEW = 20;

    /** Time limit of the requests; on a busy machine, thousands of connections are opened and closed within it. */
    private static final int TIMEOUT_MILLIS = 60_000;

    private final AtomicInteger depth = new AtomicInteger();
    private DispatchHarness harness;
    private PeerChannel channel;
    private PeerReservationService owner;

    /**
     * Guards against a stack overflow after which no streamed request is admitted any more although all workers are idle: one
     * grant led to the next attempt within the same call.
     */
    @Test
    public void thousandsOfStreamsThatWaitAreAdmittedAtOnceAtTheDepthOfAFew() throws Exception {
        assertNotDeeper(measureAdmissionOfStreams(2000), measureAdmissionOfStreams(FEW));
    }

    /**
     * Guards against a stack overflow after which requests are not answered: a request gave its slot back within the grant,
     * because the node had no connection to spare, so that the next one was granted it.
     */
    @Test
    public void slotsThatWaitingRequestsGiveBackAreGrantedToTheNextAtTheDepthOfAFew() throws Exception {
        assertNotDeeper(measureReturnedSlots(200), measureReturnedSlots(FEW));
    }

    /** Some calls occur only with many requests, so the depths differ a little even if none depends on the number of requests. */
    private static void assertNotDeeper(int framesOfMany, int framesOfFew) {
        assertTrue(framesOfMany < 2 * framesOfFew, framesOfMany + " frames, with few requests " + framesOfFew);
    }

    /** Lets streams wait for full workers, frees the workers, and returns the depth when they are sent to workers. */
    private int measureAdmissionOfStreams(int requests) throws Exception {
        start();
        try {
            harness.engine = new EngineProfile(10_000, 100_000_000, 500);
            harness.promptTokens = 0;
            harness.targetMillis = TIMEOUT_MILLIS;
            harness.timeoutMillis = TIMEOUT_MILLIS;
            AtomicInteger admitted = new AtomicInteger();
            harness.onChoice = worker -> {
                admitted.incrementAndGet();
                recordDepth();
            };
            List<ReservationService.Reservation> occupied = occupyWorkers(WorkerRole.DECODE);
            List<CompletableFuture<String>> responses = sendWaiting(WorkerRole.DECODE, requests);
            releaseOnSmallStack(occupied);
            for (CompletableFuture<String> response : responses) {
                response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            }
            assertEquals(admitted.get(), requests);
            return depth.get();
        } finally {
            stop();
        }
    }

    /** Lets plain requests wait for slots that the node cannot use, frees the slots, and returns the depth when they are returned. */
    private int measureReturnedSlots(int requests) throws Exception {
        start();
        try {
            harness.targetMillis = TIMEOUT_MILLIS;
            harness.timeoutMillis = TIMEOUT_MILLIS;
            // Each of so many nodes may have one connection to a worker.
            for (int i = 1; i < 120; i++) {
                harness.loadTracker.updatePeerLoads("n" + i, Map.of(), System.nanoTime() / 1_000_000);
            }
            List<ReservationService.Reservation> occupied = occupyWorkers(WorkerRole.PLAIN);
            List<CompletableFuture<String>> responses = sendWaiting(WorkerRole.PLAIN, requests);
            harness.loadTracker.recordStart("PLAIN-1", 0);
            harness.loadTracker.recordStart("PLAIN-2", 0);
            releaseOnSmallStack(occupied);
            for (CompletableFuture<String> response : responses) {
                assertEquals(
                        response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                        "all connections of this node to the worker are in use");
            }
            return depth.get();
        } finally {
            stop();
        }
    }

    private void start() throws Exception {
        depth.set(0);
        harness = new DispatchHarness();
        NodeListing self = new NodeListing("n1", 1, "127.0.0.1", 1, findFreePort(), "z");
        channel = PeerChannel.open(self, LoopFailures.create(new MetricRegistry()));
        owner = PeerReservationService.open(self, new PeerTable(), channel, () -> System.nanoTime() / 1_000_000);
        harness.reservationService = this::reserveAndMeasure;
    }

    private void stop() throws Exception {
        channel.close();
        harness.close();
    }

    private List<CompletableFuture<String>> sendWaiting(WorkerRole role, int requests) {
        List<CompletableFuture<String>> responses = harness.sendAll(role, requests);
        assertTrue(responses.stream().noneMatch(CompletableFuture::isDone), "a request did not wait");
        return responses;
    }

    private static void releaseOnSmallStack(List<ReservationService.Reservation> occupied) throws InterruptedException {
        Thread thread =
                new Thread(null, () -> occupied.forEach(ReservationService.Reservation::release), "test", STACK_BYTES);
        thread.start();
        thread.join();
    }

    private List<ReservationService.Reservation> occupyWorkers(WorkerRole role) {
        List<ReservationService.Reservation> occupied = new ArrayList<>();
        for (DispatchHarness.Worker worker : harness.getWorkers()) {
            if (worker.listed.server().role() == role) {
                occupied.addAll(occupy(worker.listed.id()));
            }
        }
        return occupied;
    }

    /** Takes all slots and the whole memory of a worker. */
    private List<ReservationService.Reservation> occupy(String worker) {
        List<ReservationService.Reservation> occupied = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Demand demand = new Demand(worker, 100_000_000, Integer.MAX_VALUE, 8, 0, 0, 0, 0, false);
            occupied.add(owner.reserve(demand, reply -> assertEquals(reply, Reply.GRANTED)));
        }
        return occupied;
    }

    private ReservationService.Reservation reserveAndMeasure(Demand demand, Consumer<Reply> onReply) {
        recordDepth();
        ReservationService.Reservation reservation = owner.reserve(demand, onReply);
        return () -> {
            recordDepth();
            reservation.release();
        };
    }

    private void recordDepth() {
        int frames = StackWalker.getInstance().walk(s -> (int) s.count());
        depth.accumulateAndGet(frames, Math::max);
    }

    private static int findFreePort() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
