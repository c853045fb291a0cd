package org.magnoliavane.router.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.balance.ReservationTable;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.poison.PoisonDetector;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.protocol.generated.PeerDatagram;
import org.magnoliavane.protocol.generated.PeerDatagram.BodyCase;
import org.magnoliavane.protocol.generated.StoreUpdate;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.VirtualTimers;
import org.magnoliavane.router.dispatch.PoisonGuard;
import org.magnoliavane.router.dispatch.WorkerEndDetector;
import org.magnoliavane.router.store.FakeKeyedStore;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.router.store.ReadGap;
import org.magnoliavane.router.store.ReadSchedule;
import org.magnoliavane.router.store.Topic;
import org.magnoliavane.router.store.TopicFollower;
import org.magnoliavane.router.store.TopicListener;
import org.magnoliavane.router.store.TopicSource;
import org.magnoliavane.router.store.TopicUpdate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Lets the rounds of the loops between nodes fail for a while. */
public class PeerLoopsTest {
    private static final long NOW_MILLIS = 1000;
    private static final long FAILING_MILLIS = 1500;
    private static final int TIMEOUT_MILLIS = 5000;
    private static final int DRAIN_MILLIS = 1;
    private static final int SILENCE_MILLIS = 300;
    private static final int MAX_BYTES = 16 << 10;
    private static final Set<BodyCase> LOOPS =
            EnumSet.of(BodyCase.REPORT, BodyCase.STORE_UPDATE, BodyCase.ROOM_RENEWAL);

    private final AtomicReference<Optional<Throwable>> failure = new AtomicReference<>(Optional.empty());

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {{new IllegalStateException("test")}, {new StackOverflowError("test")}};
    }

    /** Guards against a node that is taken for lost, or loses its reservations, because one round of a loop has thrown. */
    @Test(dataProvider = "failures")
    public void reportsPositionsAndRenewalsGoOnAfterRoundsThatFail(Throwable thrown) throws Exception {
        MetricRegistry metrics = new MetricRegistry();
        ScheduledExecutorService timers = DaemonTimers.open("test", 1);
        try (DatagramSocket peer = openSocket();
                HttpClient client = HttpClient.open("test", 300);
                PeerChannel channel = PeerChannel.open(list("n1", 0), LoopFailures.create(metrics))) {
            PeerTable peerTable = createTable(peer);
            startLoops(channel, peerTable, client, timers);
            peer.setSoTimeout(TIMEOUT_MILLIS);
            awaitLoops(peer);
            failure.set(Optional.of(thrown));
            Thread.sleep(FAILING_MILLIS);
            drain(peer);
            failure.set(Optional.empty());
            awaitLoops(peer);
            for (String loop : Set.of("reports", "positions", "renewals")) {
                assertTrue(metrics.counter(LoopFailures.getCounterName(loop)).getCount() > 0, loop);
            }
        } finally {
            timers.shutdownNow();
        }
    }

    /** Guards against messages that are not handled because another listener of the channel has thrown. */
    @Test(dataProvider = "failures")
    public void aListenerThatFailsDoesNotStopTheOthers(Throwable thrown) throws Exception {
        AtomicInteger received = new AtomicInteger();
        try (DatagramSocket peer = openSocket();
                PeerChannel channel = PeerChannel.open(list("n1", 0), LoopFailures.create(new MetricRegistry()))) {
            channel.addListener((datagram, sender) -> throwUnchecked(thrown));
            channel.addListener((datagram, sender) -> {
                received.incrementAndGet();
                channel.send(datagram, sender);
            });
            byte[] bytes = PeerDatagram.newBuilder().setNode("n2").build().toByteArray();
            peer.setSoTimeout(TIMEOUT_MILLIS);
            channel.send(channel.createDatagram().build(), new InetSocketAddress("127.0.0.1", peer.getLocalPort()));
            DatagramPacket first = receive(peer);
            peer.send(new DatagramPacket(bytes, bytes.length, first.getSocketAddress()));
            receive(peer);
            assertEquals(received.get(), 1);
        }
    }

    /** Guards against a node that is cut off from the store and gets no reply from those that are not. */
    @Test
    public void aPositionThatIsTooOldIsAnsweredAndACurrentOneIsNot() throws Exception {
        try (DatagramSocket peer = openSocket();
                PeerChannel channel = PeerChannel.open(list("n1", 0), LoopFailures.create(new MetricRegistry()))) {
            NodeListing self = list("n1", 1);
            // Sends nothing by itself, since it knows no other node.
            PeerStoreUpdates updates = PeerStoreUpdates.create(self, new PeerTable(), channel, () -> NOW_MILLIS);
            VirtualTimers timers = new VirtualTimers();
            FakeKeyedStore store = new FakeKeyedStore(timers);
            TopicFollower follower = createFollower(timers, store);
            store.put("w1", "");
            timers.runUntil(600);
            updates.start(Map.of(Topic.WORKERS, follower));
            peer.setSoTimeout(TIMEOUT_MILLIS);
            channel.send(channel.createDatagram().build(), new InetSocketAddress("127.0.0.1", peer.getLocalPort()));
            DatagramPacket first = receive(peer);
            for (int ageMillis : new int[] {1400, 1401}) {
                TopicUpdate position = new TopicUpdate(Topic.WORKERS, 0, 0, List.of(), ageMillis, 0);
                byte[] bytes = PeerDatagram.newBuilder()
                        .setNode("n2")
                        .setStoreUpdate(StoreUpdate.newBuilder().addTopics(PeerStoreUpdates.toMessage(position)))
                        .build()
                        .toByteArray();
                peer.send(new DatagramPacket(bytes, bytes.length, first.getSocketAddress()));
            }
            DatagramPacket reply = receive(peer);
            TopicUpdate update = PeerStoreUpdates.fromMessage(
                    PeerDatagram.parseFrom(Arrays.copyOf(reply.getData(), reply.getLength()))
                            .getStoreUpdate()
                            .getTopics(0));
            assertEquals(List.of(update.from(), update.to()), List.of(0L, 1L));
            peer.setSoTimeout(SILENCE_MILLIS);
            assertThrows(SocketTimeoutException.class, () -> receive(peer));
        }
    }

    private void startLoops(
            PeerChannel channel, PeerTable peerTable, HttpClient client, ScheduledExecutorService timers)
            throws InterruptedException {
        LongSupplier millis = () -> {
            failure.get().ifPresent(PeerLoopsTest::throwUnchecked);
            return NOW_MILLIS;
        };
        NodeListing self = list("n1", 1);
        PeerStoreUpdates updates = PeerStoreUpdates.create(self, peerTable, channel, millis);
        updates.start(Map.of(Topic.WORKERS, createFollower()));
        PeerReservationService reservations = PeerReservationService.open(self, peerTable, channel, millis);
        for (int i = 0; i < 10; i++) {
            reservations.reserve(new ReservationTable.Demand("w" + i, 1, 9500, 8, 0, 0, 600, 0, true), reply -> {});
        }
        PoisonGuard guard = new PoisonGuard(
                new PoisonDetector(feature -> false),
                new WorkerEndDetector(client, timers),
                timers,
                () -> NOW_MILLIS,
                () -> {});
        PeerReports.open(
                channel,
                peerTable,
                new WorkerLoadTracker(() -> {}),
                guard,
                millis,
                () -> NodeReport.newBuilder().setNode("n1").setRun(1).build(),
                report -> {});
    }

    private static TopicFollower createFollower() {
        VirtualTimers timers = new VirtualTimers();
        return createFollower(timers, new FakeKeyedStore(timers));
    }

    private static TopicFollower createFollower(VirtualTimers timers, FakeKeyedStore store) {
        TopicFollower follower = new TopicFollower(
                new TopicSource(store, Topic.WORKERS, ReadSchedule.within(2000)),
                new NoListener(),
                timers,
                timers::now,
                update -> {},
                LoopFailures.create(new MetricRegistry()));
        follower.refresh();
        timers.runUntil(100);
        return follower;
    }

    private static PeerTable createTable(DatagramSocket peer) {
        PeerTable table = new PeerTable();
        table.put(list("n2", peer.getLocalPort()), NOW_MILLIS);
        table.recordReport(
                NodeReport.newBuilder().setNode("n2").setRun(1).setReady(true).build(), NOW_MILLIS);
        return table;
    }

    private static NodeListing list(String name, int peerPort) {
        return new NodeListing(name, 1, "127.0.0.1", 1, peerPort, "z");
    }

    private static void awaitLoops(DatagramSocket peer) throws IOException {
        Set<BodyCase> missing = EnumSet.copyOf(LOOPS);
        while (!missing.isEmpty()) {
            DatagramPacket packet = receive(peer);
            missing.remove(PeerDatagram.parseFrom(Arrays.copyOf(packet.getData(), packet.getLength()))
                    .getBodyCase());
        }
    }

    private static DatagramPacket receive(DatagramSocket peer) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[MAX_BYTES], MAX_BYTES);
        peer.receive(packet);
        return packet;
    }

    /** Discards the datagrams that were sent before. */
    private static void drain(DatagramSocket peer) throws IOException {
        peer.setSoTimeout(DRAIN_MILLIS);
        try {
            while (true) {
                receive(peer);
            }
        } catch (SocketTimeoutException e) {
            // Nothing is left.
            return;
        } finally {
            peer.setSoTimeout(TIMEOUT_MILLIS);
        }
    }

    private static DatagramSocket openSocket() throws IOException {
        return new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    }

    private static void throwUnchecked(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    private static final class NoListener implements TopicListener {
        @Override
        public void onRead(ReadGap gap) {
            // Only the position matters.
        }

        @Override
        public boolean onChange(KeyedRecord change) {
            return false;
        }

        @Override
        public void onSnapshot(Set<String> keys) {
            // Only the position matters.
        }

        @Override
        public void onRollback(Set<String> keys) {
            // Only the position matters.
        }

        @Override
        public void onRestored(KeyedRecord entry) {
            // Only the position matters.
        }

        @Override
        public boolean needsOwnReads() {
            return false;
        }
    }
}
