package org.magnoliavane.router.peer;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.protocol.generated.PeerDatagram;
import org.magnoliavane.protocol.generated.UsageReply;
import org.magnoliavane.protocol.generated.UsageRequest;
import org.magnoliavane.protocol.generated.UsageReturn;
import org.magnoliavane.router.peer.UsageDecision.Source;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.routing.Organisation;
import org.magnoliavane.routing.UsageCap;
import org.magnoliavane.usage.NodeUsage;
import org.magnoliavane.usage.UsageGrant;
import org.magnoliavane.usage.UsageOwner;
import org.magnoliavane.usage.UsageOwner.MessageId;

/**
 * Limits what organisations use at all nodes together. Each organisation has an owner among the live nodes, which is chosen by
 * rendezvous hashing and decides. When the owner does not reply in time, the node decides by its equal share of the cap.
 *
 * <p>Thread-safe.
 */
public final class UsageLimiter {
    /** Time after which a request to an owner is repeated. Between zones a round trip takes about two milliseconds. */
    private static final long REPEAT_MILLIS = 15;

    /** Time after which the node decides itself; a tenth of the latency target of the fastest routes. */
    private static final long DECISION_MILLIS = 40;

    private static final long ROUND_MILLIS = 250;

    /**
     * Delay of a round from which another node may have become the owner meanwhile; shorter than the time without a report after
     * which it does.
     */
    private static final long PAUSE_MILLIS = 1500;

    /** Time for which a request is kept after a local decision, to return what a late reply grants. */
    private static final long LATE_REPLY_MILLIS = 5000;

    /**
     * Use that the bucket of a new owner holds, in seconds at the rate of the cap. An empty one refuses the first requests below
     * the cap; the bound permits an excess of 0.8 s.
     */
    private static final double START_SECONDS = 0.25;

    /** Time for which the live nodes are not collected again; much shorter than the time after which a node counts as lost. */
    private static final long FLEET_MILLIS = 50;

    private static final int GOLDEN_RATIO_BITS = 0x9E3779B9;

    private final NodeListing self;
    private final PeerTable peerTable;
    private final PeerChannel channel;
    private final Function<String, Optional<UsageCap>> caps;
    private final LongSupplier millis;
    private final MetricRegistry metrics;
    private final UsageOwner owned = new UsageOwner(START_SECONDS);
    private final Map<String, NodeUsage> used = new ConcurrentHashMap<>();
    private final Map<Long, Pending> pending = new ConcurrentHashMap<>();
    private final AtomicLong lastId = new AtomicLong();
    private volatile Fleet fleet;
    private long lastRoundMillis;

    private UsageLimiter(
            NodeListing self,
            PeerTable peerTable,
            PeerChannel channel,
            Function<String, Optional<UsageCap>> caps,
            LongSupplier millis,
            MetricRegistry metrics) {
        this.self = self;
        this.peerTable = peerTable;
        this.channel = channel;
        this.caps = caps;
        this.millis = millis;
        this.metrics = metrics;
        this.lastRoundMillis = millis.getAsLong();
        metrics.register("usage.organisations.owned", (Gauge<Integer>) owned::countOrganisations);
        metrics.register("usage.organisations.used", (Gauge<Integer>) used::size);
        channel.addListener(this::onDatagram);
        channel.repeat("usage", ROUND_MILLIS, this::runRound);
    }

    /**
     * Starts to grant units as an owner and to request them of other owners.
     *
     * @param self the listing of this node
     * @param peerTable the other nodes
     * @param channel transports the messages
     * @param caps returns the cap of the organisation of a name in the current configuration
     * @param millis a monotonic clock in milliseconds
     * @param metrics the metrics of the node
     * @return the running limiter
     */
    public static UsageLimiter open(
            NodeListing self,
            PeerTable peerTable,
            PeerChannel channel,
            Function<String, Optional<UsageCap>> caps,
            LongSupplier millis,
            MetricRegistry metrics) {
        return new UsageLimiter(self, peerTable, channel, caps, millis, metrics);
    }

    /**
     * Decides whether a request may run.
     *
     * @param organisation the organisation of the request, which must have a cap
     * @param units the units of the request
     * @param onDecision receives the decision once, within 40 ms
     */
    public void admit(Organisation organisation, long units, Consumer<UsageDecision> onDecision) {
        UsageCap cap = organisation.usageCap().orElseThrow();
        long now = millis.getAsLong();
        clearAfterPause(now);
        String name = organisation.name();
        Fleet current = getFleet(now);
        NodeUsage usage = used.computeIfAbsent(name, n -> NodeUsage.create(cap, current.listed, getPosition(n), now));
        usage.setLimits(cap, current.listed, now);
        NodeListing owner = current.live.findOwner(name);
        boolean decides = owner.equals(self);
        boolean usesAhead = !decides && usage.tryUseAhead(units, now);
        UsageRequest request = UsageRequest.newBuilder()
                .setId(lastId.incrementAndGet())
                .setOrganisation(name)
                .setUnits(units)
                .setAheadUnits(decides || usesAhead ? 0 : usage.getAheadToRequest(units, now))
                .build();
        Pending waiting = new Pending(request, usage, owner.name(), now, onDecision);
        if (decides) {
            UsageGrant grant =
                    owned.decide(toOwnerRequest(request, self.name(), self.run()), cap, current.getShare(), now);
            complete(waiting, grant, Source.OWNER);
        } else if (usesAhead) {
            complete(waiting, new UsageGrant(units, 0), Source.AHEAD);
        } else {
            pending.put(request.getId(), waiting);
            ask(waiting);
            channel.getExecutor().schedule(() -> ask(waiting), REPEAT_MILLIS, TimeUnit.MILLISECONDS);
            channel.getExecutor().schedule(() -> decideLocally(waiting), DECISION_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns the units of an admitted request that has not run and will not.
     *
     * @param decision the decision on the request
     */
    public void giveBack(UsageDecision decision) {
        metrics.counter("usage.returned").inc();
        NodeUsage usage = used.get(decision.organisation());
        if (decision.source() == Source.LOCAL) {
            if (usage != null) {
                usage.giveBackLocally(decision.units(), millis.getAsLong());
            }
            return;
        }
        sendBack(decision.organisation(), decision.units());
    }

    private void ask(Pending waiting) {
        if (!waiting.decided.get()) {
            NodeListing owner = findOwner(waiting.request.getOrganisation(), millis.getAsLong());
            channel.send(
                    channel.createDatagram().setUsageRequest(waiting.request).build(), List.of(owner));
        }
    }

    private void complete(Pending waiting, UsageGrant grant, Source source) {
        if (!waiting.decided.compareAndSet(false, true)) {
            return;
        }
        waiting.admitted = grant.isGranted();
        if (source == Source.LOCAL) {
            metrics.counter(grant.isGranted() ? "usage.fallback.granted" : "usage.fallback.refused")
                    .inc();
        } else {
            metrics.counter(grant.isGranted() ? "usage.granted" : "usage.refused")
                    .inc();
        }
        long now = millis.getAsLong();
        UsageRequest request = waiting.request;
        if (source == Source.OWNER && grant.isGranted()) {
            waiting.usage.recordGrant(request.getUnits(), Math.max(0, grant.grantedUnits() - request.getUnits()), now);
        } else if (source == Source.OWNER) {
            waiting.usage.recordRefusal(now);
        }
        waiting.onDecision.accept(new UsageDecision(
                grant.isGranted(),
                request.getId(),
                request.getOrganisation(),
                request.getUnits(),
                grant.retryAfterMillis(),
                source,
                waiting.owner,
                now - waiting.sinceMillis));
    }

    private void decideLocally(Pending waiting) {
        if (!waiting.decided.get()) {
            complete(
                    waiting, waiting.usage.decideLocally(waiting.request.getUnits(), millis.getAsLong()), Source.LOCAL);
        }
    }

    private void onDatagram(PeerDatagram datagram, InetSocketAddress sender) {
        switch (datagram.getBodyCase()) {
            case USAGE_REQUEST -> reply(datagram, sender);
            case USAGE_REPLY -> onReply(datagram.getUsageReply());
            case USAGE_RETURN -> {
                UsageReturn message = datagram.getUsageReturn();
                MessageId id = new MessageId(datagram.getNode(), datagram.getRun(), message.getId());
                owned.giveBack(id, message.getOrganisation(), message.getUnits(), millis.getAsLong());
            }
            default -> {
                // Handled by another listener.
            }
        }
    }

    /** Replies as the owner. An organisation without a cap here gets no reply: one of both nodes has an older configuration. */
    private void reply(PeerDatagram datagram, InetSocketAddress sender) {
        UsageRequest request = datagram.getUsageRequest();
        Optional<UsageCap> cap = caps.apply(request.getOrganisation());
        if (cap.isEmpty()) {
            metrics.counter("usage.unknown").inc();
            return;
        }
        long now = millis.getAsLong();
        clearAfterPause(now);
        UsageGrant grant = owned.decide(
                toOwnerRequest(request, datagram.getNode(), datagram.getRun()),
                cap.get(),
                getFleet(now).getShare(),
                now);
        UsageReply reply = UsageReply.newBuilder()
                .setId(request.getId())
                .setGrantedUnits(grant.grantedUnits())
                .setRetryAfterMillis((int) grant.retryAfterMillis())
                .build();
        channel.send(channel.createDatagram().setUsageReply(reply).build(), sender);
    }

    private void onReply(UsageReply reply) {
        Pending waiting = pending.remove(reply.getId());
        if (waiting == null) {
            return;
        }
        UsageGrant grant = new UsageGrant(
                Math.max(0, reply.getGrantedUnits()), Integer.toUnsignedLong(reply.getRetryAfterMillis()));
        if (!waiting.decided.get()) {
            complete(waiting, grant, Source.OWNER);
            return;
        }
        // The node has decided meanwhile; the owner keeps what the request used.
        long unused = grant.grantedUnits() - (waiting.admitted ? waiting.request.getUnits() : 0);
        if (unused > 0) {
            sendBack(waiting.request.getOrganisation(), unused);
        }
    }

    private void sendBack(String organisation, long units) {
        long now = millis.getAsLong();
        long id = lastId.incrementAndGet();
        NodeListing owner = findOwner(organisation, now);
        if (owner.equals(self)) {
            owned.giveBack(new MessageId(self.name(), self.run(), id), organisation, units, now);
            return;
        }
        UsageReturn message = UsageReturn.newBuilder()
                .setId(id)
                .setOrganisation(organisation)
                .setUnits(units)
                .build();
        channel.send(channel.createDatagram().setUsageReturn(message).build(), List.of(owner));
    }

    private void runRound() {
        long now = millis.getAsLong();
        clearAfterPause(now);
        synchronized (this) {
            lastRoundMillis = now;
        }
        owned.retain(
                name -> caps.apply(name).isPresent() && findOwner(name, now).equals(self));
        pending.values().removeIf(p -> now - p.sinceMillis > LATE_REPLY_MILLIS);
        used.forEach((name, usage) -> {
            long units = usage.takeUnusable(now);
            if (units > 0) {
                sendBack(name, units);
            }
        });
        used.keySet().removeIf(name -> caps.apply(name).isEmpty());
    }

    /** Discards the buckets of this owner after a pause of the process. Called first, before a message that arrived meanwhile. */
    private synchronized void clearAfterPause(long now) {
        if (now - lastRoundMillis > PAUSE_MILLIS) {
            owned.clear();
            lastRoundMillis = now;
        }
    }

    /** Gets a number from 0 to 1 that differs among the nodes, also for names that differ by their last digit only. */
    private double getPosition(String organisation) {
        int hash = (organisation + '/' + self.name()).hashCode() * GOLDEN_RATIO_BITS;
        return Integer.toUnsignedLong(hash) / (double) (1L << Integer.SIZE);
    }

    private NodeListing findOwner(String organisation, long now) {
        return getFleet(now).live.findOwner(organisation);
    }

    private Fleet getFleet(long now) {
        Fleet known = fleet;
        if (known == null || now - known.sinceMillis >= FLEET_MILLIS) {
            known = new Fleet(
                    LiveNodes.collect(self, peerTable, now),
                    1 + peerTable.getListings().size(),
                    now);
            fleet = known;
        }
        return known;
    }

    private static UsageOwner.UsageRequest toOwnerRequest(UsageRequest request, String node, long run) {
        return new UsageOwner.UsageRequest(
                new MessageId(node, run, request.getId()),
                request.getOrganisation(),
                request.getUnits(),
                request.getAheadUnits());
    }

    /** The nodes at a time: those that this node hears, with itself, and the number of those that are listed. */
    private record Fleet(LiveNodes live, int listed, long sinceMillis) {
        /** Gets the share of a cap that this node may grant; the rest belongs to the nodes that it does not hear. */
        double getShare() {
            return Math.min(1, (double) live.count() / listed);
        }
    }

    /** A request that waits for the decision of the owner, or has been decided without it. */
    private static final class Pending {
        private final UsageRequest request;
        private final NodeUsage usage;
        private final String owner;
        private final long sinceMillis;
        private final Consumer<UsageDecision> onDecision;
        private final AtomicBoolean decided = new AtomicBoolean();
        private volatile boolean admitted;

        Pending(
                UsageRequest request,
                NodeUsage usage,
                String owner,
                long sinceMillis,
                Consumer<UsageDecision> onDecision) {
            this.request = request;
            this.usage = usage;
            this.owner = owner;
            this.sinceMillis = sinceMillis;
            this.onDecision = onDecision;
        }
    }
}
