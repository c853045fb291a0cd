package org.magnoliavane.router.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.membership.RendezvousHashing;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.protocol.generated.PeerDatagram;
import org.magnoliavane.protocol.generated.PeerDatagram.BodyCase;
import org.magnoliavane.protocol.generated.UsageReply;
import org.magnoliavane.protocol.generated.UsageRequest;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.peer.UsageDecision.Source;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.routing.Organisation;
import org.magnoliavane.routing.UsageCap;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/** Tests a limiter against another node, played by the test, that is silent, late, repeats datagrams or loses them. */
public class UsageLimiterTest {
    private static final UsageCap CAP = new UsageCap(UsageCap.Unit.TOKENS, 1000, 1000, 200);
    private static final int TIMEOUT_MILLIS = 3000;

    /** Time after which a reply of the test may come after the node's own decision, which it makes after 40 ms. */
    private static final long IN_TIME_MILLIS = 30;

    private static final int MAX_ATTEMPTS = 20;

    private final BlockingQueue<UsageDecision> decisions = new LinkedBlockingQueue<>();
    private volatile Optional<UsageCap> configured;
    private MetricRegistry metrics;
    private DatagramSocket peer;
    private PeerChannel channel;
    private UsageLimiter limiter;
    private SocketAddress self;

    @BeforeMethod
    public void open() throws IOException {
        decisions.clear();
        configured = Optional.of(CAP);
        metrics = new MetricRegistry();
        peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        peer.setSoTimeout(TIMEOUT_MILLIS);
        long start = System.nanoTime();
        PeerTable table = new PeerTable();
        table.put(list("n2", peer.getLocalPort()), 0);
        // The report counts for longer than a test takes.
        table.recordReport(
                NodeReport.newBuilder().setNode("n2").setRun(1).setReady(true).build(), 60_000);
        channel = PeerChannel.open(list("n1", 0), LoopFailures.create(metrics));
        limiter = UsageLimiter.open(
                list("n1", 0),
                table,
                channel,
                name -> configured,
                () -> (System.nanoTime() - start) / 1_000_000,
                metrics);
    }

    @AfterMethod
    public void close() {
        channel.close();
        peer.close();
    }

    /** Guards against callers that wait, or get no refusal, while the owner is frozen or cut off. */
    @Test
    public void withoutAReplyTheNodeAsksAgainAndDecidesByItsShare() throws Exception {
        Organisation organisation = findOrganisation("n2");
        UsageDecision first = admit(organisation, 500);
        assertEquals(first.source(), Source.LOCAL);
        assertTrue(first.admitted());
        assertTrue(first.waitedMillis() >= 40, first.toString());
        assertEquals(
                receive(BodyCase.USAGE_REQUEST).getUsageRequest().getId(),
                receive(BodyCase.USAGE_REQUEST).getUsageRequest().getId());
        UsageDecision second = admit(organisation, 500);
        assertFalse(second.admitted());
        assertTrue(second.retryAfterMillis() > 0 && second.retryAfterMillis() <= 2500, second.toString());
        assertEquals(metrics.counter("usage.fallback.refused").getCount(), 1);
        limiter.giveBack(first);
        assertTrue(admit(organisation, 500).admitted());
    }

    /** Guards against a decision that is lost with one datagram, or reaches the caller twice. */
    @Test
    public void aLostRequestIsRepeatedAndARepeatedReplyHasNoEffect() throws Exception {
        UsageDecision decision = null;
        long replyMillis = Long.MAX_VALUE;
        // On a busy machine the test itself may reply after the node has decided.
        for (int i = 0; i < MAX_ATTEMPTS && replyMillis > IN_TIME_MILLIS; i++) {
            long start = System.nanoTime();
            limiter.admit(findOrganisation("n2"), 300, decisions::add);
            long lost = receive(BodyCase.USAGE_REQUEST).getUsageRequest().getId();
            assertEquals(receive(BodyCase.USAGE_REQUEST).getUsageRequest().getId(), lost);
            reply(lost, 300);
            replyMillis = (System.nanoTime() - start) / 1_000_000;
            reply(lost, 300);
            decision = decisions.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        assertTrue(decision.admitted());
        assertEquals(decision.source(), Source.OWNER);
        assertNull(decisions.poll(100, TimeUnit.MILLISECONDS));
        limiter.giveBack(decision);
        assertEquals(receive(BodyCase.USAGE_RETURN).getUsageReturn().getUnits(), 300);
    }

    /** Guards against units that are lost when the owner grants them after the node has refused the request. */
    @Test
    public void unitsOfALateGrantAreReturned() throws Exception {
        Organisation organisation = findOrganisation("n2");
        admit(organisation, 500);
        long id = receive(BodyCase.USAGE_REQUEST).getUsageRequest().getId();
        receive(BodyCase.USAGE_REQUEST);
        assertFalse(admit(organisation, 500).admitted());
        long refused = receive(BodyCase.USAGE_REQUEST).getUsageRequest().getId();
        receive(BodyCase.USAGE_REQUEST);
        reply(id, 500);
        reply(refused, 500);
        PeerDatagram returned = receive(BodyCase.USAGE_RETURN);
        assertEquals(returned.getUsageReturn().getUnits(), 500);
    }

    /** Guards against an owner that charges a repeated request twice, or decides for an organisation that it does not know. */
    @Test
    public void anOwnerChargesARepeatedRequestOnce() throws Exception {
        Organisation organisation = findOrganisation("n1");
        // Any message tells the port of the channel.
        limiter.admit(findOrganisation("n2"), 1, decisions::add);
        receive(BodyCase.USAGE_REQUEST);
        receive(BodyCase.USAGE_REQUEST);
        for (int i = 0; i < 3; i++) {
            ask(1, organisation, 250);
            assertEquals(receive(BodyCase.USAGE_REPLY).getUsageReply().getGrantedUnits(), 250);
        }
        ask(2, organisation, 1000);
        UsageReply refusal = receive(BodyCase.USAGE_REPLY).getUsageReply();
        assertEquals(refusal.getGrantedUnits(), 0);
        assertTrue(refusal.getRetryAfterMillis() > 0);
        configured = Optional.empty();
        ask(3, organisation, 1);
        peer.setSoTimeout(200);
        try {
            assertNull(receive(BodyCase.USAGE_REPLY), "reply for an unknown organisation");
        } catch (SocketTimeoutException e) {
            assertEquals(metrics.counter("usage.unknown").getCount(), 1);
        }
    }

    /** Guards against state of removed organisations that is kept, or that requests in progress fail without. */
    @Test
    public void anOrganisationThatIsRemovedLeavesNoState() throws Exception {
        UsageDecision own = admit(findOrganisation("n1"), 100);
        assertEquals(own.source(), Source.OWNER);
        configured = Optional.empty();
        long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
        while (countStates() > 0 && System.nanoTime() < end) {
            Thread.sleep(10);
        }
        assertEquals(countStates(), 0);
        limiter.giveBack(own);
        assertEquals(countStates(), 0);
    }

    /** Guards against messages that grow beyond some tens of bytes; prints their sizes for docs/CAPACITY.md. */
    @Test
    public void messagesAreSmall() {
        PeerDatagram.Builder datagram =
                PeerDatagram.newBuilder().setNode("edge-123").setRun(Long.MAX_VALUE);
        UsageRequest request = UsageRequest.newBuilder()
                .setId(1_000_000)
                .setOrganisation("organisation-123")
                .setUnits(5274)
                .setAheadUnits(50_000)
                .build();
        UsageReply reply =
                UsageReply.newBuilder().setId(1_000_000).setGrantedUnits(55_274).build();
        int requestBytes = datagram.setUsageRequest(request).build().getSerializedSize();
        int replyBytes = datagram.setUsageReply(reply).build().getSerializedSize();
        System.out.println("usage cost request_bytes=" + requestBytes + " reply_bytes=" + replyBytes);
        assertTrue(requestBytes + replyBytes < 100);
    }

    private int countStates() {
        return List.of("usage.organisations.owned", "usage.organisations.used").stream()
                .mapToInt(n -> (Integer) metrics.getGauges().get(n).getValue())
                .sum();
    }

    private UsageDecision admit(Organisation organisation, long units) throws InterruptedException {
        limiter.admit(organisation, units, decisions::add);
        return decisions.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void ask(long id, Organisation organisation, long units) throws IOException {
        send(PeerDatagram.newBuilder()
                .setUsageRequest(UsageRequest.newBuilder()
                        .setId(id)
                        .setOrganisation(organisation.name())
                        .setUnits(units)));
    }

    private void reply(long id, long units) throws IOException {
        send(PeerDatagram.newBuilder()
                .setUsageReply(UsageReply.newBuilder().setId(id).setGrantedUnits(units)));
    }

    private void send(PeerDatagram.Builder datagram) throws IOException {
        byte[] bytes = datagram.setNode("n2").setRun(1).build().toByteArray();
        peer.send(new DatagramPacket(bytes, bytes.length, self));
    }

    /** Receives the next message of a kind and discards others, which belong to earlier requests. */
    private PeerDatagram receive(BodyCase kind) throws IOException {
        while (true) {
            DatagramPacket packet = new DatagramPacket(new byte[2048], 2048);
            peer.receive(packet);
            self = packet.getSocketAddress();
            PeerDatagram datagram = PeerDatagram.parseFrom(Arrays.copyOf(packet.getData(), packet.getLength()));
            if (datagram.getBodyCase() == kind) {
                return datagram;
            }
        }
    }

    /** Finds an organisation that one of both nodes owns. */
    private static Organisation findOrganisation(String owner) {
        return IntStream.range(0, 100)
                .mapToObj(i -> "o" + i)
                .filter(n -> RendezvousHashing.findOwner(n, List.of("n1", "n2"), m -> m)
                        .filter(owner::equals)
                        .isPresent())
                .map(n -> new Organisation(n, Set.of(), 0, Optional.of(CAP)))
                .findFirst()
                .orElseThrow();
    }

    private static NodeListing list(String name, int peerPort) {
        return new NodeListing(name, 1, "127.0.0.1", 1, peerPort, "z");
    }
}
