package org.magnoliavane.router.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.magnoliavane.membership.MemberSilence;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.router.store.NodeListing;

/**
 * Keeps the listings and the latest reports of the other nodes. A node that has stopped reporting is left out of the
 * addresses for callers, unless more than half of the nodes have fallen silent, since the fault is then more likely at
 * this node. Nodes that have been silent for long are lost; they neither count for that nor are named ({@link MemberSilence}).
 *
 * <p>Thread-safe.
 */
public final class PeerTable {
    /** Time without a report after which a node counts as unresponsive; several intervals between reports. */
    private static final long REPORT_TIMEOUT_MILLIS = 2500;

    /** Age from which a report no longer shows waiting requests; longer than the interval between two reports. */
    private static final long ON_TIME_MAX_AGE_MILLIS = 400;

    /** Time within which a newly listed node must send its first report. */
    private static final long FIRST_REPORT_TIMEOUT_MILLIS = 3000;

    /** Number of contact times after which a silent node counts as lost; a frozen node is silent for little more than one. */
    private static final int LOST_CONTACT_TIMES = 3;

    private static final long DEFAULT_CONTACT_MILLIS = 3000;

    private final Map<String, Peer> peers = new ConcurrentHashMap<>();
    private final MemberSilence silence;

    /** Kept up to date by the methods that change the nodes, since each report of another node asks for it. */
    private volatile long newestConfigurationVersion;

    /** Creates an empty table for nodes with a contact time of 3 s. */
    public PeerTable() {
        this(DEFAULT_CONTACT_MILLIS);
    }

    private PeerTable(long contactMillis) {
        silence = new MemberSilence(
                REPORT_TIMEOUT_MILLIS, FIRST_REPORT_TIMEOUT_MILLIS, LOST_CONTACT_TIMES * contactMillis);
    }

    /**
     * Creates an empty table.
     *
     * @param contactMillis the time after which a node that cannot be reached counts as out of touch, in milliseconds
     * @return the table
     */
    public static PeerTable create(long contactMillis) {
        return new PeerTable(contactMillis);
    }

    /**
     * Adds a node. A listing of a run that is known already has no effect.
     *
     * @param listing the listing
     * @param nowMillis the current time in milliseconds
     */
    public synchronized void put(NodeListing listing, long nowMillis) {
        peers.compute(
                listing.name(),
                (name, old) -> old != null && old.listing.run() == listing.run()
                        ? old
                        : new Peer(listing, nowMillis, false, false, true, 0, List.of()));
        newestConfigurationVersion = findNewestConfigurationVersion();
    }

    /**
     * Removes a node.
     *
     * @param name the name of the node
     */
    public synchronized void remove(String name) {
        peers.remove(name);
        newestConfigurationVersion = findNewestConfigurationVersion();
    }

    /**
     * Removes all nodes but the named ones.
     *
     * @param names the names of the nodes to keep
     */
    public synchronized void retain(Set<String> names) {
        peers.keySet().retainAll(names);
        newestConfigurationVersion = findNewestConfigurationVersion();
    }

    /**
     * Finds the listing of another node.
     *
     * @param name the name of the node
     * @return the listing; empty if the node is not known
     */
    public Optional<NodeListing> findListing(String name) {
        return Optional.ofNullable(peers.get(name)).map(Peer::listing);
    }

    /**
     * Returns whether a node has not reported lately.
     *
     * @param name the name of the node
     * @param nowMillis the current time in milliseconds
     * @return true if the node is known and unresponsive
     */
    public boolean isUnresponsive(String name, long nowMillis) {
        Peer peer = peers.get(name);
        return peer != null && isUnresponsive(peer, nowMillis);
    }

    private boolean isUnresponsive(Peer peer, long nowMillis) {
        return getState(peer, nowMillis) != MemberSilence.State.LIVE;
    }

    private MemberSilence.State getState(Peer peer, long nowMillis) {
        return silence.getState(peer.hasReported, nowMillis - peer.lastReportMillis);
    }

    /**
     * Records the report of a node. A report of an unknown node or of another run is ignored.
     *
     * @param report the report
     * @param nowMillis the current time in milliseconds
     */
    public synchronized void recordReport(NodeReport report, long nowMillis) {
        Peer old = peers.get(report.getNode());
        if (old == null || old.listing.run() != report.getRun()) {
            return;
        }
        long version = report.getConfigurationVersion();
        peers.put(
                report.getNode(),
                new Peer(
                        old.listing,
                        nowMillis,
                        true,
                        report.getLeaving(),
                        report.getReady(),
                        version,
                        List.copyOf(report.getPunctualServicesList())));
        if (version >= newestConfigurationVersion) {
            newestConfigurationVersion = version;
        } else if (old.configurationVersion == newestConfigurationVersion) {
            newestConfigurationVersion = findNewestConfigurationVersion();
        }
    }

    /**
     * Gets the listings of all other nodes.
     *
     * @return the listings
     */
    public List<NodeListing> getListings() {
        List<NodeListing> listings = new ArrayList<>(peers.size());
        peers.values().forEach(p -> listings.add(p.listing));
        return Collections.unmodifiableList(listings);
    }

    /**
     * Gets the listings of the other nodes that have reported lately and are not shutting down.
     *
     * @param nowMillis the current time in milliseconds
     * @return the listings
     */
    public List<NodeListing> getLiveListings(long nowMillis) {
        List<NodeListing> listings = new ArrayList<>(peers.size());
        for (Peer peer : peers.values()) {
            if (peer.hasReported && !peer.leaving && !isUnresponsive(peer, nowMillis)) {
                listings.add(peer.listing);
            }
        }
        return Collections.unmodifiableList(listings);
    }

    /**
     * Counts the nodes among which budgets are divided.
     *
     * @param nowMillis the current time in milliseconds
     * @return the number of nodes that are not unresponsive, including this one
     */
    public int countNodes(long nowMillis) {
        return 1
                + (int) peers.values().stream()
                        .filter(p -> !isUnresponsive(p, nowMillis))
                        .count();
    }

    /**
     * Gets the listings of the nodes that have been silent for so long that they count as lost.
     *
     * @param nowMillis the current time in milliseconds
     * @return the listings
     */
    public List<NodeListing> getLostListings(long nowMillis) {
        return peers.values().stream()
                .filter(p -> getState(p, nowMillis) == MemberSilence.State.LOST)
                .map(Peer::listing)
                .toList();
    }

    /**
     * Gets the addresses of the other nodes that callers may use.
     *
     * @param selfUsable whether this node serves callers and is not cut off from the others and the store
     * @param nowMillis the current time in milliseconds
     * @return the addresses as IP address and port
     */
    public List<String> getCallerAddresses(boolean selfUsable, long nowMillis) {
        List<Peer> all = List.copyOf(peers.values());
        List<MemberSilence.State> states =
                all.stream().map(p -> getState(p, nowMillis)).toList();
        boolean trusted = MemberSilence.isTrusted(states);
        boolean lostToo = MemberSilence.mayUseLost(states, selfUsable);
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            Peer peer = all.get(i);
            MemberSilence.State state = states.get(i);
            boolean usable = state == MemberSilence.State.LOST
                    ? lostToo
                    : !trusted || state == MemberSilence.State.LIVE && peer.ready;
            if (usable && !peer.leaving) {
                addresses.add(peer.listing.host() + ":" + peer.listing.callerPort());
            }
        }
        return addresses;
    }

    /**
     * Gets the highest version of the configuration that another node has in force.
     *
     * @return the version; 0 if no node has reported one
     */
    public long getNewestConfigurationVersion() {
        return newestConfigurationVersion;
    }

    private long findNewestConfigurationVersion() {
        return peers.values().stream()
                .mapToLong(Peer::configurationVersion)
                .max()
                .orElse(0);
    }

    /**
     * Returns whether another node has waiting requests for a service that can still meet their latency target.
     *
     * @param service the name of the service
     * @param nowMillis the current time in milliseconds
     * @return true if a recent report says so
     */
    public boolean hasOnTimeRequests(String service, long nowMillis) {
        return peers.values().stream()
                .anyMatch(p ->
                        nowMillis - p.lastReportMillis < ON_TIME_MAX_AGE_MILLIS && p.onTimeServices.contains(service));
    }

    private record Peer(
            NodeListing listing,
            long lastReportMillis,
            boolean hasReported,
            boolean leaving,
            boolean ready,
            long configurationVersion,
            List<String> onTimeServices) {}
}
