package org.magnoliavane.router.peer;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;
import org.magnoliavane.membership.RendezvousHashing;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.protocol.generated.PeerDatagram;
import org.magnoliavane.protocol.generated.ReservationReply;
import org.magnoliavane.protocol.generated.ReservationRequest;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.dispatch.ReservationService.Reservation;
import org.magnoliavane.router.store.NodeListing;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;

/** Runs the reservations of a node beside a peer that the test plays by datagrams. */
public class PeerReservationServiceTest {
    private static final int TIMEOUT_MILLIS = 3000;

    private final BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
    private DatagramSocket peer;
    private PeerChannel channel;
    private PeerReservationService service;
    private NodeListing self;
    private NodeListing other;
    private DatagramPacket lastPacket;

    @BeforeMethod
    public void start() throws Exception {
        replies.clear();
        peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        peer.setSoTimeout(TIMEOUT_MILLIS);
        self = new NodeListing("n1", 1, "127.0.0.1", 1, 0, "z");
        other = new NodeListing("n2", 1, "127.0.0.1", 1, peer.getLocalPort(), "z");
        channel = PeerChannel.open(self, LoopFailures.create(new MetricRegistry()));
        PeerTable table = new PeerTable();
        table.put(other, 0);
        table.recordReport(
                NodeReport.newBuilder().setNode("n2").setRun(1).setReady(true).build(), 0);
        long startNanos = System.nanoTime();
        // Virtual clock that stops below the time after which the peer would count as unresponsive.
        service = PeerReservationService.open(
                self, table, channel, () -> Math.min(2000, (System.nanoTime() - startNanos) / 1_000_000));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        channel.close();
        peer.close();
    }

    @Test
    public void aWaitingRequestIsGrantedWithoutBeingSentAgainAndConfirmsTheGrant() throws Exception {
        service.reserve(demand(findWorker(other), 1000, false), replies::add);
        ReservationRequest request = receive(PeerDatagram.BodyCase.ROOM_REQUEST).getRoomRequest();
        assertEquals(request.getUrgency(), 2);
        reply(request.getId(), false, true);
        assertEquals(await(), Reply.WAITING);
        reply(request.getId(), true, true);
        assertEquals(await(), Reply.GRANTED);
        assertEquals(
                receive(PeerDatagram.BodyCase.ROOM_RENEWAL)
                        .getRoomRenewal()
                        .getRooms(0)
                        .getId(),
                request.getId());
    }

    /** Guards against a reservation that is reclaimed while it is in use, because the datagrams changed places. */
    @Test
    public void aGrantThatArrivesBeforeTheReplyThatTheRequestWaitsIsConfirmed() throws Exception {
        service.reserve(demand(findWorker(other), 1000, false), replies::add);
        long id = receive(PeerDatagram.BodyCase.ROOM_REQUEST).getRoomRequest().getId();
        reply(id, true, true);
        reply(id, false, true);
        assertEquals(await(), Reply.GRANTED);
        assertEquals(
                receive(PeerDatagram.BodyCase.ROOM_RENEWAL)
                        .getRoomRenewal()
                        .getRooms(0)
                        .getId(),
                id);
        assertNull(replies.poll());
    }

    /** Guards against memory that stays reserved because the grant crossed the end of the request. */
    @Test
    public void aGrantThatArrivesAfterTheReleaseIsGivenBack() throws Exception {
        Reservation reservation = service.reserve(demand(findWorker(other), 1000, false), replies::add);
        long id = receive(PeerDatagram.BodyCase.ROOM_REQUEST).getRoomRequest().getId();
        reservation.release();
        // On a busy machine, the time for a reply may have ended before the release.
        replies.clear();
        assertEquals(
                receive(PeerDatagram.BodyCase.ROOM_RELEASE).getRoomRelease().getId(), id);
        reply(id, true, false);
        assertEquals(
                receive(PeerDatagram.BodyCase.ROOM_RELEASE).getRoomRelease().getId(), id);
        assertNull(replies.poll());
    }

    /** Guards against full workers that are sent everything while their owner is frozen. */
    @Test
    public void withoutAReplyOnlyARequestForAFreeWorkerCountsAsGranted() throws Exception {
        service.reserve(demand(findWorker(other), 1000, true), replies::add);
        assertEquals(await(), Reply.GRANTED);
        service.reserve(demand(findWorker(other), 1000, false), replies::add);
        assertEquals(await(), Reply.REJECTED);
    }

    /** Guards against a request that waits for its whole time at an owner that has failed. */
    @Test
    public void aWaitingRequestIsRejectedWhoseOwnerRepliesNoMore() throws Exception {
        service.reserve(demand(findWorker(other), 60_000, false), replies::add);
        reply(receive(PeerDatagram.BodyCase.ROOM_REQUEST).getRoomRequest().getId(), false, true);
        assertEquals(await(), Reply.WAITING);
        assertEquals(await(), Reply.REJECTED);
    }

    /** Guards against capacity that is kept for requests of a peer that have been withdrawn. */
    @Test
    public void anOwnerGrantsTheWaitingRequestOfAPeerWhenMemoryIsReleased() throws Exception {
        String worker = findWorker(self);
        Reservation first = service.reserve(demand(worker, 0, false), replies::add);
        assertEquals(await(), Reply.GRANTED);
        service.reserve(demand(findWorker(other), 0, false), reply -> {});
        receive(PeerDatagram.BodyCase.ROOM_REQUEST);
        send(PeerDatagram.newBuilder()
                .setRoomRequest(ReservationRequest.newBuilder()
                        .setId(7)
                        .setWorker(worker)
                        .setTokens(10_000)
                        .setLimitTokens(10_000)
                        .setSlots(8)
                        .setOverdueInMillis(600)
                        .setWaitMillis(5000)));
        ReservationReply waits = receive(PeerDatagram.BodyCase.ROOM_ANSWER).getRoomAnswer();
        assertFalse(waits.getGranted());
        assertEquals(waits.getWaiting(), true);
        first.release();
        assertEquals(receive(PeerDatagram.BodyCase.ROOM_ANSWER).getRoomAnswer().getGranted(), true);
    }

    private Reply await() throws InterruptedException {
        return replies.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private String findWorker(NodeListing owner) {
        return IntStream.range(0, 1000)
                .mapToObj(i -> "w" + i)
                .filter(w -> RendezvousHashing.findOwner(w, Arrays.asList(self, other), NodeListing::name)
                        .orElseThrow()
                        .equals(owner))
                .findFirst()
                .orElseThrow();
    }

    private static Demand demand(String worker, long waitMillis, boolean assumeGranted) {
        return new Demand(worker, 10_000, 10_000, 8, 2, 0, 600, waitMillis, assumeGranted);
    }

    private PeerDatagram receive(PeerDatagram.BodyCase body) throws Exception {
        while (true) {
            byte[] bytes = new byte[16 << 10];
            lastPacket = new DatagramPacket(bytes, bytes.length);
            peer.receive(lastPacket);
            PeerDatagram datagram = PeerDatagram.parseFrom(Arrays.copyOf(bytes, lastPacket.getLength()));
            if (datagram.getBodyCase() == body) {
                return datagram;
            }
        }
    }

    private void reply(long id, boolean granted, boolean waiting) throws Exception {
        send(PeerDatagram.newBuilder()
                .setRoomAnswer(ReservationReply.newBuilder()
                        .setId(id)
                        .setGranted(granted)
                        .setWaiting(waiting)));
    }

    private void send(PeerDatagram.Builder datagram) throws Exception {
        byte[] bytes = datagram.setNode("n2").setRun(1).build().toByteArray();
        peer.send(new DatagramPacket(bytes, bytes.length, lastPacket.getSocketAddress()));
    }
}
