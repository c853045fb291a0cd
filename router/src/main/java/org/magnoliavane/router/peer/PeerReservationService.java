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
 * Gives each worker one steward among the live nodes, by rendezvous hashing, which gives out the room in its memory. Holders
 * renew their room, so that a new steward learns of it. When a steward does not answer, the request goes on as if it had
 * agreed: the worker itself refuses what does not fit.
 *
 * <p>Thread-safe.
 */
public final class PeerReservationService implements ReservationService {
    /** Wait for a steward; between zones an answer takes about two milliseconds. */
    private static final long ANSWER_MILLIS = 25;

    private static final long RENEW_MILLIS = 700;

    /** Time after which a steward takes back room that is not renewed; three renewals may be lost. */
    private static final long LEASE_MILLIS = 3000;

    private final NodeListing self;
    private final PeerTable peers;
    private final PeerChannel channel;
    private final LongSupplier millis;
    private final ReservationTable table = new ReservationTable(LEASE_MILLIS);
    private final AtomicLong ids = new AtomicLong();
    private final Map<Long, Held> held = new ConcurrentHashMap<>();

    private PeerReservationService(NodeListing self, PeerTable peers, PeerChannel channel, LongSupplier millis) {
        this.self = self;
        this.peers = peers;
        this.channel = channel;
        this.millis = millis;
        channel.listen(this::take);
        channel.executor().scheduleWithFixedDelay(this::renew, RENEW_MILLIS, RENEW_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to act as steward and to ask others.
     *
     * @param self this node
     * @param peers the other nodes
     * @param channel carries the messages
     * @param millis a monotonic clock in milliseconds
     * @return the stewards
     */
    public static PeerReservationService open(
            NodeListing self, PeerTable peers, PeerChannel channel, LongSupplier millis) {
        return new PeerReservationService(self, peers, channel, millis);
    }

    @Override
    public Reservation reserve(ListedWorker worker, EngineProfile engine, int tokens, Consumer<Boolean> answer) {
        long id = ids.incrementAndGet();
        ReservationRequest request = ReservationRequest.newBuilder()
                .setId(id)
                .setWorker(worker.id())
                .setTokens(tokens)
                .setLimitTokens(engine.getUsableTokens())
                .setSlots(engine.slots())
                .build();
        Held room = new Held(request, answer);
        held.put(id, room);
        NodeListing steward = stewardOf(worker.id());
        if (steward.name().equals(self.name())) {
            settle(id, table.tryReserve(toTable(request, self.name()), millis.getAsLong()));
        } else {
            channel.send(channel.datagram().setRoomRequest(request).build(), List.of(steward));
            channel.executor().schedule(() -> settle(id, true), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        }
        return () -> release(id);
    }

    /** Room that was denied is forgotten, so that it is not renewed. */
    private void settle(long id, boolean granted) {
        Held room = held.get(id);
        if (room != null && room.answered.compareAndSet(false, true)) {
            if (!granted) {
                held.remove(id);
            }
            room.onAnswer.accept(granted);
        }
    }

    private void release(long id) {
        Held room = held.remove(id);
        if (room == null) {
            return;
        }
        if (room.answered.compareAndSet(false, true)) {
            // Whoever waits for the answer must hear that none will come.
            room.onAnswer.accept(false);
        }
        String worker = room.request.getWorker();
        NodeListing steward = stewardOf(worker);
        if (steward.name().equals(self.name())) {
            table.release(worker, self.name(), id);
        } else {
            ReservationRelease release =
                    ReservationRelease.newBuilder().setId(id).setWorker(worker).build();
            channel.send(channel.datagram().setRoomRelease(release).build(), List.of(steward));
        }
    }

    private NodeListing stewardOf(String worker) {
        List<NodeListing> nodes = new ArrayList<>(peers.getLiveListings(millis.getAsLong()));
        nodes.add(self);
        return RendezvousHashing.findOwner(worker, nodes, NodeListing::name).orElse(self);
    }

    private void renew() {
        Map<NodeListing, ReservationRenewal.Builder> bySteward = new HashMap<>();
        for (Held room : held.values()) {
            bySteward
                    .computeIfAbsent(stewardOf(room.request.getWorker()), s -> ReservationRenewal.newBuilder())
                    .addRooms(room.request);
        }
        bySteward.forEach((steward, rooms) -> {
            if (steward.name().equals(self.name())) {
                takeRenewal(rooms.build(), self.name());
            } else {
                channel.send(channel.datagram().setRoomRenewal(rooms).build(), List.of(steward));
            }
        });
    }

    private void take(PeerDatagram datagram, InetSocketAddress sender) {
        switch (datagram.getBodyCase()) {
            case ROOM_REQUEST -> {
                ReservationRequest request = datagram.getRoomRequest();
                boolean granted = table.tryReserve(toTable(request, datagram.getNode()), millis.getAsLong());
                ReservationReply answer = ReservationReply.newBuilder()
                        .setId(request.getId())
                        .setGranted(granted)
                        .build();
                channel.send(channel.datagram().setRoomAnswer(answer).build(), sender);
            }
            case ROOM_ANSWER -> {
                settle(
                        datagram.getRoomAnswer().getId(),
                        datagram.getRoomAnswer().getGranted());
            }
            case ROOM_RELEASE ->
                table.release(
                        datagram.getRoomRelease().getWorker(),
                        datagram.getNode(),
                        datagram.getRoomRelease().getId());
            case ROOM_RENEWAL -> takeRenewal(datagram.getRoomRenewal(), datagram.getNode());
            default -> {
                // Reports are for another listener.
            }
        }
    }

    private void takeRenewal(ReservationRenewal renewal, String node) {
        renewal.getRoomsList().forEach(r -> table.renew(toTable(r, node), millis.getAsLong()));
    }

    private static ReservationTable.Request toTable(ReservationRequest request, String node) {
        return new ReservationTable.Request(
                request.getWorker(),
                node,
                request.getId(),
                request.getTokens(),
                request.getLimitTokens(),
                request.getSlots());
    }

    private static final class Held {
        private final ReservationRequest request;
        private final Consumer<Boolean> onAnswer;
        private final AtomicBoolean answered = new AtomicBoolean();

        Held(ReservationRequest request, Consumer<Boolean> onAnswer) {
            this.request = request;
            this.onAnswer = onAnswer;
        }
    }
}
