package org.magnoliavane.router.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

import org.magnoliavane.membership.RendezvousHashing;
import org.magnoliavane.protocol.generated.PeerDatagram;
import org.magnoliavane.protocol.generated.StoreUpdate;
import org.magnoliavane.protocol.generated.TopicChanges;
import org.magnoliavane.protocol.generated.TopicRecord;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.router.store.Topic;
import org.magnoliavane.router.store.TopicFollower;
import org.magnoliavane.router.store.TopicUpdate;

/**
 * Shares reads of the store within an availability zone. Two nodes of each zone, chosen by rendezvous hashing among the
 * live ones, read the store and send what has changed to the others, which read only when updates are missing. Of the two, each
 * uses the updates of the other one while its own reads are late. A node whose position is too old to rely on asks nodes of all
 * zones by sending it to them; they reply with what they have read since. The calls to the store thus grow with the number of zones and not with the number of nodes.
 *
 * <p>Thread-safe.
 */
public final class PeerStoreUpdates {
    /** Number of nodes of a zone that read the store; one of them may fail without a pause. */
    private static final int READERS_PER_ZONE = 2;

    private static final String READER_ELECTION_KEY = "store-readers";

    /** Interval at which readers send their positions, so that the others know that they still read. */
    private static final long POSITION_INTERVAL_MILLIS = 500;

    /** Number of nodes that a node asks whose own reads are late; some may be cut off from the store as well. */
    private static final int ASKED_NODES = 3;

    /** Largest size of the compressed records in a datagram. Nodes that need larger records read the store. */
    private static final int MAX_RECORD_BYTES = 8000;

    private final NodeListing self;
    private final PeerTable peerTable;
    private final PeerChannel channel;
    private final LongSupplier millis;
    private final Map<Topic, TopicFollower> followers = new EnumMap<>(Topic.class);

    private PeerStoreUpdates(NodeListing self, PeerTable peerTable, PeerChannel channel, LongSupplier millis) {
        this.self = self;
        this.peerTable = peerTable;
        this.channel = channel;
        this.millis = millis;
    }

    /**
     * Creates an instance that sends and receives nothing before {@link #start}.
     *
     * @param self the listing of this node
     * @param peerTable the other nodes
     * @param channel transports the updates
     * @param millis a monotonic clock in milliseconds
     * @return the instance
     */
    public static PeerStoreUpdates create(
            NodeListing self, PeerTable peerTable, PeerChannel channel, LongSupplier millis) {
        return new PeerStoreUpdates(self, peerTable, channel, millis);
    }

    /**
     * Starts to send and apply updates. Must be called once.
     *
     * @param topicFollowers the followers by topic
     */
    public void start(Map<Topic, TopicFollower> topicFollowers) {
        followers.putAll(topicFollowers);
        channel.addListener((datagram, sender) -> {
            if (datagram.hasStoreUpdate()) {
                boolean reader = isReader();
                datagram.getStoreUpdate().getTopicsList().forEach(t -> handle(t, reader, sender));
            }
        });
        channel.repeat("positions", POSITION_INTERVAL_MILLIS, this::sendPositions);
    }

    /**
     * Sends an update to the other nodes of the zone if this node reads the store for them.
     *
     * @param update what this node has read
     */
    public void send(TopicUpdate update) {
        if (isReader()) {
            send(List.of(update));
        }
    }

    private void sendPositions() {
        if (isReader()) {
            send(followers.values().stream()
                    .flatMap(f -> f.findCurrentPosition().stream())
                    .toList());
        }
    }

    private void send(List<TopicUpdate> updates) {
        List<NodeListing> others = getOthersInZone();
        if (!others.isEmpty() && !updates.isEmpty()) {
            channel.send(createDatagram(updates), others);
        }
    }

    /**
     * Asks other nodes for what they have read since the position of this node.
     *
     * @param position the position, which must be too old to rely on
     */
    public void ask(TopicUpdate position) {
        List<NodeListing> others = new ArrayList<>(peerTable.getLiveListings(millis.getAsLong()));
        Collections.shuffle(others, ThreadLocalRandom.current());
        channel.send(
                createDatagram(List.of(position)),
                others.stream().limit(ASKED_NODES).toList());
    }

    private PeerDatagram createDatagram(List<TopicUpdate> updates) {
        StoreUpdate.Builder body = StoreUpdate.newBuilder();
        updates.forEach(u -> body.addTopics(toMessage(u)));
        return channel.createDatagram().setStoreUpdate(body).build();
    }

    /** Returns whether this node reads the store, which it also does as long as it knows no other node of its zone. */
    private boolean isReader() {
        return RendezvousHashing.isOwner(
                READER_ELECTION_KEY, self.name(), getOthersInZone(), NodeListing::name, READERS_PER_ZONE);
    }

    private List<NodeListing> getOthersInZone() {
        List<NodeListing> zone = new ArrayList<>();
        for (NodeListing node : peerTable.getLiveListings(millis.getAsLong())) {
            if (node.zone().equals(self.zone())) {
                zone.add(node);
            }
        }
        return zone;
    }

    /** Applies the update of a topic, or replies to a position that is too old. A topic that only newer nodes know is ignored. */
    private void handle(TopicChanges message, boolean reader, InetSocketAddress sender) {
        if (message.getTopic() == TopicChanges.Topic.UNRECOGNIZED) {
            return;
        }
        TopicUpdate update = fromMessage(message);
        TopicFollower follower = followers.get(update.topic());
        follower.findUpdateFor(update).ifPresent(u -> channel.send(createDatagram(List.of(u)), sender));
        if (reader) {
            follower.applyUpdateIfLate(update);
        } else {
            follower.applyUpdate(update);
        }
    }

    static TopicChanges toMessage(TopicUpdate update) {
        List<TopicRecord> records =
                update.records().stream().map(RecordCompression::toMessage).toList();
        int bytes = records.stream()
                .mapToInt(r -> r.getKey().length() + r.getValue().size())
                .sum();
        boolean complete = bytes <= MAX_RECORD_BYTES;
        TopicChanges.Builder message = TopicChanges.newBuilder()
                .setTopic(toMessage(update.topic()))
                .setFrom(complete ? update.from() : update.to())
                .setTo(update.to())
                .setAgeMillis((int) Math.min(Integer.MAX_VALUE, update.ageMillis()))
                .setEra(update.era());
        if (complete) {
            message.addAllRecords(records);
        }
        return message.build();
    }

    private static TopicChanges.Topic toMessage(Topic topic) {
        return switch (topic) {
            case CONFIGURATION -> TopicChanges.Topic.CONFIGURATION;
            case WORKERS -> TopicChanges.Topic.WORKERS;
            case NODES -> TopicChanges.Topic.NODES;
        };
    }

    static TopicUpdate fromMessage(TopicChanges message) {
        Topic topic = switch (message.getTopic()) {
            case CONFIGURATION -> Topic.CONFIGURATION;
            case WORKERS -> Topic.WORKERS;
            case NODES -> Topic.NODES;
            case UNRECOGNIZED -> throw new IllegalArgumentException("unknown topic");
        };
        List<KeyedRecord> records = message.getRecordsList().stream()
                .map(RecordCompression::fromMessage)
                .toList();
        return new TopicUpdate(
                topic, message.getFrom(), message.getTo(), records, message.getAgeMillis(), message.getEra());
    }
}
