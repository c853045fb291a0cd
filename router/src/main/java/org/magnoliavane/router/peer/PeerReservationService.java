package org.magnoliavane.router.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ReservationTable;
import org.magnoliavane.membership.RendezvousHashing;
import org.magnoliavane.protocol.generated.PeerDatagram;
import org.magnoliavane.protocol.generated.ReservationRelease;
import org.magnoliavane.protocol.generated.ReservationRenewal;
import org.magnoliavane.protocol.generated.ReservationReply;
import org.magnoliavane.protocol.generated.ReservationRequest;
import org.magnoliavane.router.dispatch.ReservationService;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.routing.EngineProfile;

/**
 * Reserves worker memory at the reservation owner of each worker, which is chosen among the live nodes by rendezvous
 * hashing. Holders renew their reservations, so that a new owner discovers them. When the owner does not reply in time,
 * the reservation counts as granted, unless it is a claim, since the worker itself refuses requests that do not fit into
 * its memory.
 *
 * <p>Thread-safe.
 */
public final class PeerReservationService implements ReservationService {
    /** Maximum wait for a reply of the owner. Between zones a round trip takes about two milliseconds. */
    private static final long REPLY_TIMEOUT_MILLIS = 25;

    private static final long RENEWAL_INTERVAL_MILLIS = 700;

    /** Time after which an owner reclaims a reservation that is not renewed. Three renewals in a row may be lost. */
    private static final long LEASE_MILLIS = 3000;

    private final NodeListing self;
    private final PeerTable peerTable;
    private final PeerChannel channel;
    private final LongSupplier millis;
    private final ReservationTable reservationTable = new ReservationTable(LEASE_MILLIS);
    private final AtomicLong lastId = new AtomicLong();
    private final Map<Long, HeldReservation> held = new ConcurrentHashMap<>();

    private PeerReservationService(NodeListing self, PeerTable peerTable, PeerChannel channel, LongSupplier millis) {
        this.self = self;
        this.peerTable = peerTable;
        this.channel = channel;
        this.millis = millis;
        channel.addListener(this::onDatagram);
        channel.repeat("renewals", RENEWAL_INTERVAL_MILLIS, this::renew);
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

    @Override
    public long createClaimId() {
        return lastId.incrementAndGet();
    }

    @Override
    public Reservation reserve(
            ListedWorker worker, EngineProfile engine, int tokens, long claimId, Consumer<Boolean> onReply) {
        long id = lastId.incrementAndGet();
        ReservationRequest request = ReservationRequest.newBuilder()
                .setId(id)
                .setWorker(worker.id())
                .setTokens(tokens)
                .setLimitTokens(engine.getUsableTokens())
                .setSlots(engine.slots())
                .setClaimId(claimId)
                .build();
        HeldReservation reservation = new HeldReservation(request, onReply);
        held.put(id, reservation);
        NodeListing owner = findOwner(worker.id());
        if (owner.name().equals(self.name())) {
            complete(id, reservationTable.tryReserve(toTableRequest(request, self.name()), millis.getAsLong()));
        } else {
            channel.send(channel.createDatagram().setRoomRequest(request).build(), List.of(owner));
            channel.getExecutor().schedule(() -> handleMissingReply(id), REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        return () -> release(id);
    }

    /** Completes a pending reservation. A rejected one is removed so that it is not renewed. */
    private void complete(long id, boolean granted) {
        HeldReservation reservation = held.get(id);
        if (reservation != null && reservation.completed.compareAndSet(false, true)) {
            if (!granted) {
                held.remove(id);
            }
            reservation.onReply.accept(granted);
        }
    }

    /**
     * Grants a reservation whose owner has not replied. A claim is released instead: it is made because no free capacity
     * is known.
     */
    private void handleMissingReply(long id) {
        HeldReservation reservation = held.get(id);
        if (reservation == null || reservation.completed.get()) {
            return;
        }
        if (reservation.request.getClaimId() == ReservationTable.NO_CLAIM) {
            complete(id, true);
        } else {
            release(id);
        }
    }

    private void release(long id) {
        HeldReservation reservation = held.remove(id);
        if (reservation == null) {
            return;
        }
        if (reservation.completed.compareAndSet(false, true)) {
            // No reply is handled after the release, so the requester is notified here.
            reservation.onReply.accept(false);
        }
        String worker = reservation.request.getWorker();
        NodeListing owner = findOwner(worker);
        if (owner.name().equals(self.name())) {
            reservationTable.release(worker, self.name(), id, millis.getAsLong());
        } else {
            ReservationRelease release =
                    ReservationRelease.newBuilder().setId(id).setWorker(worker).build();
            channel.send(channel.createDatagram().setRoomRelease(release).build(), List.of(owner));
        }
    }

    private NodeListing findOwner(String worker) {
        List<NodeListing> nodes = new ArrayList<>(peerTable.getLiveListings(millis.getAsLong()));
        nodes.add(self);
        return RendezvousHashing.findOwner(worker, nodes, NodeListing::name).orElse(self);
    }

    private void renew() {
        Map<NodeListing, ReservationRenewal.Builder> byOwner = new HashMap<>();
        for (HeldReservation reservation : held.values()) {
            byOwner.computeIfAbsent(findOwner(reservation.request.getWorker()), o -> ReservationRenewal.newBuilder())
                    .addRooms(reservation.request);
        }
        byOwner.forEach((owner, reservations) -> {
            if (owner.name().equals(self.name())) {
                applyRenewal(reservations.build(), self.name());
            } else {
                channel.send(
                        channel.createDatagram().setRoomRenewal(reservations).build(), List.of(owner));
            }
        });
    }

    private void onDatagram(PeerDatagram datagram, InetSocketAddress sender) {
        switch (datagram.getBodyCase()) {
            case ROOM_REQUEST -> {
                ReservationRequest request = datagram.getRoomRequest();
                boolean granted =
                        reservationTable.tryReserve(toTableRequest(request, datagram.getNode()), millis.getAsLong());
                ReservationReply reply = ReservationReply.newBuilder()
                        .setId(request.getId())
                        .setGranted(granted)
                        .build();
                channel.send(channel.createDatagram().setRoomAnswer(reply).build(), sender);
            }
            case ROOM_ANSWER -> {
                complete(
                        datagram.getRoomAnswer().getId(),
                        datagram.getRoomAnswer().getGranted());
            }
            case ROOM_RELEASE ->
                reservationTable.release(
                        datagram.getRoomRelease().getWorker(),
                        datagram.getNode(),
                        datagram.getRoomRelease().getId(),
                        millis.getAsLong());
            case ROOM_RENEWAL -> applyRenewal(datagram.getRoomRenewal(), datagram.getNode());
            default -> {
                // Reports are handled by another listener.
            }
        }
    }

    private void applyRenewal(ReservationRenewal renewal, String node) {
        renewal.getRoomsList().forEach(r -> reservationTable.renew(toTableRequest(r, node), millis.getAsLong()));
    }

    private static ReservationTable.Request toTableRequest(ReservationRequest request, String node) {
        return new ReservationTable.Request(
                request.getWorker(),
                node,
                request.getId(),
                request.getTokens(),
                request.getLimitTokens(),
                request.getSlots(),
                request.getClaimId());
    }

    private static final class HeldReservation {
        private final ReservationRequest request;
        private final Consumer<Boolean> onReply;
        private final AtomicBoolean completed = new AtomicBoolean();

        HeldReservation(ReservationRequest request, Consumer<Boolean> onReply) {
            this.request = request;
            this.onReply = onReply;
        }
    }
}
