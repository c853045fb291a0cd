package org.magnoliavane.router.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.router.store.NodeListing;

/**
 * The other nodes: those that list themselves in the store, and what they report. A node that was heard of and has become
 * silent is left out of the addresses for callers, unless most nodes are silent, which is rather this node's fault.
 *
 * <p>Thread-safe.
 */
public final class PeerTable {
    /** Silence after which a node is left out; several of its reports. */
    private static final long SILENCE_TIMEOUT_MILLIS = 2500;

    /** Age at which a report no longer tells who waits; longer than the pause between two reports. */
    private static final long ON_TIME_MAX_AGE_MILLIS = 400;

    /** Time that a listed node has to send its first report. */
    private static final long FIRST_REPORT_TIMEOUT_MILLIS = 3000;

    private final Map<String, Peer> peers = new ConcurrentHashMap<>();

    /**
     * Takes the listing of a node.
     *
     * @param listing the listing
     * @param nowMillis the current time
     */
    public void put(NodeListing listing, long nowMillis) {
        peers.compute(
                listing.name(),
                (name, old) -> old != null && old.listing.run() == listing.run()
                        ? old
                        : new Peer(listing, nowMillis, false, false, true, 0, List.of()));
    }

    /**
     * Takes the removal of a listing.
     *
     * @param name the name of the node
     */
    public void remove(String name) {
        peers.remove(name);
    }

    /**
     * Keeps only the named nodes.
     *
     * @param names the names
     */
    public void retain(Set<String> names) {
        peers.keySet().retainAll(names);
    }

    /**
     * Takes a report.
     *
     * @param report the report
     * @param nowMillis the current time
     */
    public void recordReport(NodeReport report, long nowMillis) {
        peers.computeIfPresent(
                report.getNode(),
                (name, old) -> old.listing.run() != report.getRun()
                        ? old
                        : new Peer(
                                old.listing,
                                nowMillis,
                                true,
                                report.getLeaving(),
                                report.getReady(),
                                report.getConfigurationVersion(),
                                List.copyOf(report.getPunctualServicesList())));
    }

    /**
     * Gets the listings of all other nodes.
     *
     * @return the listings
     */
    public List<NodeListing> getListings() {
        return peers.values().stream().map(Peer::listing).toList();
    }

    /**
     * Gets the listings of the other nodes that are heard of and not leaving.
     *
     * @param nowMillis the current time
     * @return the listings
     */
    public List<NodeListing> getLiveListings(long nowMillis) {
        return peers.values().stream()
                .filter(p -> p.hasReported && !p.leaving && !p.isSilent(nowMillis))
                .map(Peer::listing)
                .toList();
    }

    /**
     * Counts the nodes that share budgets.
     *
     * @param nowMillis the current time
     * @return the nodes that do not appear to be gone, this one included
     */
    public int countNodes(long nowMillis) {
        return 1
                + (int) peers.values().stream()
                        .filter(p -> !p.isSilent(nowMillis))
                        .count();
    }

    /**
     * Gets the other nodes that callers may use.
     *
     * @param nowMillis the current time
     * @return their addresses for callers
     */
    public List<String> getCallerAddresses(long nowMillis) {
        long silent = peers.values().stream().filter(p -> p.isSilent(nowMillis)).count();
        boolean trusted = silent * 2 <= peers.size();
        List<String> addresses = new ArrayList<>();
        for (Peer peer : peers.values()) {
            boolean usable = !trusted || !peer.isSilent(nowMillis) && peer.ready;
            if (usable && !peer.leaving) {
                addresses.add(peer.listing.host() + ":" + peer.listing.callerPort());
            }
        }
        return addresses;
    }

    /**
     * Gets the newest version of the configuration that another node has in force.
     *
     * @return the version; 0 when none is known
     */
    public long getNewestConfigurationVersion() {
        return peers.values().stream()
                .mapToLong(Peer::configurationVersion)
                .max()
                .orElse(0);
    }

    /**
     * Says whether requests that can still be on time wait for a service at another node.
     *
     * @param service the name of the service
     * @param nowMillis the current time
     * @return true when a recent report says so
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
            List<String> onTimeServices) {
        boolean isSilent(long nowMillis) {
            return nowMillis - lastReportMillis > (hasReported ? SILENCE_TIMEOUT_MILLIS : FIRST_REPORT_TIMEOUT_MILLIS);
        }
    }
}
