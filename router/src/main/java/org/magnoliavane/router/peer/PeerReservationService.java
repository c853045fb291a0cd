package org.magnoliavane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.balance.ReservationTable;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;
import org.magnoliavane.protocol.generated.PeerDatagram;
import org.magnoliavane.protocol.generated.ReservationRelease;
import org.magnoliavane.protocol.generated.ReservationRenewal;
import org.magnoliavane.protocol.generated.ReservationReply;
import org.magnoliavane.protocol.generated.ReservationRequest;
import org.magnoliavane.router.dispatch.ReservationService;
import org.magnoliavane.router.store.NodeListing;

/**
 * Reserves worker capacity at the reservation owner of each worker, which is chosen among the live nodes by rendezvous
 * hashing. Holders renew their reservations and repeat their waiting requests, so that a new owner discovers them and
 * nothing is left of a holder that has failed. When the owner does not reply in time, the demand states whether it counts as
 * granted, since the worker itself refuses requests that do not fit into its memory.
 *
 * <p>Thread-safe.
 */
public final class PeerReservationService implements ReservationService {
    private static final Logger LOG = System.getLogger(PeerReservationService.class.getName());

    /** Maximum wait for a reply of the owner. Between zones a round trip takes about two milliseconds. */
    private static final long REPLY_TIMEOUT_MILLIS = 25;

    private static final long RENEWAL_INTERVAL_MILLIS = 700;

    /** Interval at which waiting requests are repeated; owners forget them when three repeats in a row are lost. */
    private static final long REPEAT_INTERVAL_MILLIS = 200;

    /** Time after which a waiting request is rejected whose owner replies to no repeat; two may be lost. */
    private static final long SILENT_OWNER_MILLIS = 650;

    /** Interval at which owners look for capacity that became free without a message, at the end of a lease or protection. */
    private static final long GRANT_INTERVAL_MILLIS = 50;

    /** Time after which an owner reclaims a reservation that is not renewed. Three renewals in a row may be lost. */
    private static final long LEASE_MILLIS = 3000;

    /** Number of released reservations whose workers are known, for grants that cross the release. */
    private static final int MAX_RELEASED = 1024;

    private static final long RUN_MASK = 0xffffff;
    private static final int RUN_SHIFT = 24;

    private final NodeListing self;
    private final PeerTable peerTable;
    private final PeerChannel channel;
    private final LongSupplier millis;
    private final ReservationTable reservationTable = new ReservationTable(LEASE_MILLIS);
    private final AtomicLong lastId;
    private final Map<Long, HeldReservation> held = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> requesters = new ConcurrentHashMap<>();
    private final Map<Long, String> releasedWorkers = Collections.synchronizedMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > MAX_RELEASED;
        }
    });
    private final LongAdder messages = new LongAdder();
    private final LongAdder lateGrants = new LongAdder();
    private final LongAdder silences = new LongAdder();

    private PeerReservationService(NodeListing self, PeerTable peerTable, PeerChannel channel, LongSupplier millis) {
        this.self = self;
        this.peerTable = peerTable;
        this.channel = channel;
        this.millis = millis;
        // Owners may still know reservations of an earlier run of this node.
        this.lastId = new AtomicLong((self.run() & RUN_MASK) << RUN_SHIFT);
        channel.addListener(this::onDatagram);
        channel.repeat("renewals", RENEWAL_INTERVAL_MILLIS, this::renew);
        channel.repeat("waiting", REPEAT_INTERVAL_MILLIS, this::repeatWaiting);
        channel.repeat(
                "grants",
                GRANT_INTERVAL_MILLIS,
                () -> reservationTable.getWorkersWithWaiting().forEach(this::sendGrants));
    }

    /**
     * Starts to grant reservations as an owner and to reserve at other owners.
     *
     * @param self the listing of this node
     * @param peerTable the other nodes
     * @param channel transports the messages
     * @param millis a monotonic clock in milliseconds
     * @return the running service
     */
    public static PeerReservationService open(
            NodeListing self, PeerTable peerTable, PeerChannel channel, LongSupplier millis) {
        return new PeerReservationService(self, peerTable, channel, millis);
    }

    /**
     * Registers the metrics of reservations.
     *
     * @param metrics receives gauges
     */
    public void registerMetrics(MetricRegistry metrics) {
        metrics.register("reservations.held", (Gauge<Integer>) held::size);
        metrics.register("reservations.waiting", (Gauge<Integer>) reservationTable::countWaiting);
        metrics.register("reservations.granted_after_wait", (Gauge<Long>) lateGrants::sum);
        metrics.register("reservations.owner_silent", (Gauge<Long>) silences::sum);
        metrics.register("reservations.messages", (Gauge<Long>) messages::sum);
    }

    @Override
    public Reservation reserve(Demand demand, Consumer<Reply> onReply) {
        long id = lastId.incrementAndGet();
        HeldReservation reservation = new HeldReservation(demand, millis.getAsLong(), onReply);
        held.put(id, reservation);
        if (!request(id, reservation)) {
            channel.getExecutor().schedule(() -> handleMissingReply(id), REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        return () -> release(id);
    }

    /** Sends a request to its owner; returns true if this node is the owner and the reply has been handled. */
    private boolean request(long id, HeldReservation reservation) {
        long now = millis.getAsLong();
        Demand demand = reservation.getDemand(now);
        NodeListing owner = findOwner(demand.worker());
        if (!owner.name().equals(self.name())) {
            send(channel.createDatagram().setRoomRequest(toMessage(id, demand)), owner);
            return false;
        }
        handleReply(id, reservationTable.request(self.name(), id, demand, now), false);
        sendGrants(demand.worker());
        return true;
    }

    /**
     * Handles a reply of an owner. A grant that arrives after the release is given back.
     *
     * @param mustConfirm whether the owner granted the request while it waited
     */
    private void handleReply(long id, Reply reply, boolean mustConfirm) {
        HeldReservation reservation = held.get(id);
        if (reservation == null) {
            String worker = releasedWorkers.get(id);
            if (reply != Reply.REJECTED && worker != null) {
                sendRelease(id, worker);
            }
            return;
        }
        reservation.lastReplyMillis = millis.getAsLong();
        if (mustConfirm) {
            confirm(id, reservation);
        }
        if (!reservation.accept(reply)) {
            return;
        }
        if (reply == Reply.REJECTED) {
            held.remove(id);
        } else if (reply == Reply.WAITING) {
            long waitMillis = reservation.getDemand(millis.getAsLong()).waitMillis();
            channel.getExecutor().schedule(() -> endWait(id), waitMillis, TimeUnit.MILLISECONDS);
        }
        reservation.onReply.accept(reply);
    }

    /** Confirms a grant, which the owner reclaims soon otherwise. */
    private void confirm(long id, HeldReservation reservation) {
        NodeListing owner = findOwner(reservation.demand.worker());
        if (owner.name().equals(self.name())) {
            reservationTable.renew(self.name(), id, reservation.demand, millis.getAsLong());
        } else {
            send(
                    channel.createDatagram()
                            .setRoomRenewal(ReservationRenewal.newBuilder().addRooms(toRenewal(id, reservation))),
                    owner);
        }
    }

    private static ReservationRequest toRenewal(long id, HeldReservation reservation) {
        return ReservationRequest.newBuilder()
                .setId(id)
                .setWorker(reservation.demand.worker())
                .setTokens(reservation.demand.tokens())
                .build();
    }

    /** Rejects a request that has waited for as long as it wants to, or whose owner is silent. */
    private void endWait(long id) {
        HeldReservation reservation = held.get(id);
        if (reservation != null && reservation.accept(Reply.REJECTED)) {
            release(id);
            reservation.onReply.accept(Reply.REJECTED);
        }
    }

    private void handleMissingReply(long id) {
        HeldReservation reservation = held.get(id);
        if (reservation == null || reservation.hasReply()) {
            return;
        }
        silences.increment();
        LOG.log(
                Level.INFO,
                "event=owner_silent worker={0} owner={1} granted={2}",
                reservation.demand.worker(),
                findOwner(reservation.demand.worker()).name(),
                reservation.demand.assumeGranted());
        if (!reservation.demand.assumeGranted()) {
            endWait(id);
        } else if (reservation.accept(Reply.GRANTED)) {
            reservation.onReply.accept(Reply.GRANTED);
        }
    }

    private void release(long id) {
        HeldReservation reservation = held.remove(id);
        if (reservation != null) {
            reservation.accept(Reply.REJECTED);
            releasedWorkers.put(id, reservation.demand.worker());
            sendRelease(id, reservation.demand.worker());
        }
    }

    private void sendRelease(long id, String worker) {
        NodeListing owner = findOwner(worker);
        if (owner.name().equals(self.name())) {
            reservationTable.release(worker, self.name(), id, millis.getAsLong());
            sendGrants(worker);
        } else {
            send(
                    channel.createDatagram()
                            .setRoomRelease(
                                    ReservationRelease.newBuilder().setId(id).setWorker(worker)),
                    owner);
        }
    }

    private void send(PeerDatagram.Builder datagram, NodeListing node) {
        messages.increment();
        channel.send(datagram.build(), List.of(node));
    }

    private NodeListing findOwner(String worker) {
        return getLiveNodes().findOwner(worker);
    }

    private LiveNodes getLiveNodes() {
        return LiveNodes.collect(self, peerTable, millis.getAsLong());
    }

    private void renew() {
        LiveNodes nodes = getLiveNodes();
        Map<NodeListing, ReservationRenewal.Builder> byOwner = new HashMap<>();
        held.forEach((id, reservation) -> {
            if (reservation.isGranted()) {
                byOwner.computeIfAbsent(
                                nodes.findOwner(reservation.demand.worker()), o -> ReservationRenewal.newBuilder())
                        .addRooms(toRenewal(id, reservation));
            }
        });
        byOwner.forEach((owner, reservations) -> {
            if (owner.name().equals(self.name())) {
                applyRenewal(reservations.build(), self.name());
            } else {
                send(channel.createDatagram().setRoomRenewal(reservations), owner);
            }
        });
    }

    private void repeatWaiting() {
        long now = millis.getAsLong();
        held.forEach((id, reservation) -> {
            if (!reservation.isWaiting()) {
                return;
            }
            if (now - reservation.lastReplyMillis >= SILENT_OWNER_MILLIS) {
                silences.increment();
                LOG.log(
                        Level.INFO,
                        "event=owner_silent worker={0} owner={1} waiting=true",
                        reservation.demand.worker(),
                        findOwner(reservation.demand.worker()).name());
                endWait(id);
            } else {
                request(id, reservation);
            }
        });
    }

    private void onDatagram(PeerDatagram datagram, InetSocketAddress sender) {
        switch (datagram.getBodyCase()) {
            case ROOM_REQUEST -> {
                ReservationRequest request = datagram.getRoomRequest();
                requesters.put(datagram.getNode(), sender);
                Reply reply = reservationTable.request(
                        datagram.getNode(), request.getId(), toDemand(request), millis.getAsLong());
                sendReply(request.getId(), reply == Reply.GRANTED, reply == Reply.WAITING, sender);
                sendGrants(request.getWorker());
            }
            case ROOM_ANSWER ->
                handleReply(
                        datagram.getRoomAnswer().getId(),
                        toReply(datagram.getRoomAnswer()),
                        datagram.getRoomAnswer().getGranted()
                                && datagram.getRoomAnswer().getWaiting());
            case ROOM_RELEASE -> {
                ReservationRelease release = datagram.getRoomRelease();
                reservationTable.release(release.getWorker(), datagram.getNode(), release.getId(), millis.getAsLong());
                sendGrants(release.getWorker());
            }
            case ROOM_RENEWAL -> applyRenewal(datagram.getRoomRenewal(), datagram.getNode());
            default -> {
                // Reports are handled by another listener.
            }
        }
    }

    private void sendReply(long id, boolean granted, boolean waiting, InetSocketAddress to) {
        messages.increment();
        ReservationReply message = ReservationReply.newBuilder()
                .setId(id)
                .setGranted(granted)
                .setWaiting(waiting)
                .build();
        channel.send(channel.createDatagram().setRoomAnswer(message).build(), to);
    }

    /**
     * Grants waiting requests that fit now. Such a grant states both granted and waiting, so that the holder confirms it even
     * if it arrives before the reply that the request waits. A lost grant is sent again when the request is repeated.
     */
    private void sendGrants(String worker) {
        for (ReservationTable.Holder holder : reservationTable.takeGrants(worker, millis.getAsLong())) {
            lateGrants.increment();
            LOG.log(
                    Level.INFO,
                    "event=granted_after_wait worker={0} node={1} id={2}",
                    worker,
                    holder.node(),
                    Long.toString(holder.id()));
            if (holder.node().equals(self.name())) {
                handleReply(holder.id(), Reply.GRANTED, true);
            } else {
                sendReply(holder.id(), true, true, requesters.get(holder.node()));
            }
        }
    }

    private void applyRenewal(ReservationRenewal renewal, String node) {
        renewal.getRoomsList().forEach(r -> reservationTable.renew(node, r.getId(), toDemand(r), millis.getAsLong()));
    }

    private static Reply toReply(ReservationReply message) {
        if (message.getGranted()) {
            return Reply.GRANTED;
        }
        return message.getWaiting() ? Reply.WAITING : Reply.REJECTED;
    }

    private static ReservationRequest toMessage(long id, Demand demand) {
        return ReservationRequest.newBuilder()
                .setId(id)
                .setWorker(demand.worker())
                .setTokens(demand.tokens())
                .setLimitTokens(demand.limitTokens())
                .setSlots(demand.slots())
                .setUrgency(demand.urgency())
                .setAgeMillis((int) Math.max(0, demand.ageMillis()))
                .setOverdueInMillis((int) demand.overdueInMillis())
                .setWaitMillis((int) demand.waitMillis())
                .build();
    }

    private static Demand toDemand(ReservationRequest message) {
        return new Demand(
                message.getWorker(),
                message.getTokens(),
                message.getLimitTokens(),
                message.getSlots(),
                message.getUrgency(),
                message.getAgeMillis(),
                message.getOverdueInMillis(),
                message.getWaitMillis(),
                false);
    }

    private static final class HeldReservation {
        private final Demand demand;
        private final long sinceMillis;
        private final Consumer<Reply> onReply;
        private Optional<Reply> lastReply = Optional.empty();
        private volatile long lastReplyMillis;

        HeldReservation(Demand demand, long nowMillis, Consumer<Reply> onReply) {
            this.demand = demand;
            this.sinceMillis = nowMillis;
            this.lastReplyMillis = nowMillis;
            this.onReply = onReply;
        }

        Demand getDemand(long nowMillis) {
            return demand.after(nowMillis - sinceMillis);
        }

        /** Returns whether a reply changes the state. Granted and rejected are final. */
        synchronized boolean accept(Reply reply) {
            boolean changes = lastReply.isEmpty() || lastReply.get() == Reply.WAITING && reply != Reply.WAITING;
            if (changes) {
                lastReply = Optional.of(reply);
            }
            return changes;
        }

        synchronized boolean hasReply() {
            return lastReply.isPresent();
        }

        synchronized boolean isGranted() {
            return lastReply.filter(r -> r == Reply.GRANTED).isPresent();
        }

        synchronized boolean isWaiting() {
            return lastReply.filter(r -> r == Reply.WAITING).isPresent();
        }
    }
}
