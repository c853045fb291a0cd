package org.magnoliavane.router;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import org.magnoliavane.router.peer.PeerTable;
import org.magnoliavane.router.store.EntryFormat;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.router.store.ReadGap;
import org.magnoliavane.router.store.TopicListener;

/**
 * Updates the table of the other nodes from the store. After a rollback of the store, nodes that the snapshot lacks are kept
 * until they have listed themselves again, and listings of runs that are known to have ended are ignored.
 *
 * <p>Thread-safe.
 */
final class NodeController implements TopicListener {
    private static final Logger LOG = System.getLogger(NodeController.class.getName());

    /**
     * Time for which a silent node that the first snapshot after a rollback lacks is kept. A node lists itself again within a
     * second of its own snapshot, and others read that within 8 s, for which the store holds a read open.
     */
    private static final long MISSING_GRACE_MILLIS = 10_000;

    /** Number of ended runs that are remembered; many times those between a copy of the store and the rollback to it. */
    private static final int MAX_ENDED_RUNS = 1000;

    private final PeerTable peerTable;
    private final EntryFormat entries;
    private final NodeListing self;
    private final LongSupplier millis;
    private final Set<Run> endedRuns = new LinkedHashSet<>();
    private final Map<String, Long> missingUntilMillis = new HashMap<>();
    private boolean selfListed;

    NodeController(PeerTable peerTable, EntryFormat entries, NodeListing self, LongSupplier millis) {
        this.peerTable = peerTable;
        this.entries = entries;
        this.self = self;
        this.millis = millis;
    }

    @Override
    public void onRead(ReadGap gap) {
        // The age of the read does not matter for what is applied.
    }

    @Override
    public synchronized boolean onChange(KeyedRecord change) {
        if (change.isRemoval()) {
            removeNode(change.key());
            return true;
        }
        readNode(change).ifPresent(node -> {
            endedRuns.remove(Run.of(node));
            putNode(node);
        });
        return true;
    }

    private Optional<NodeListing> readNode(KeyedRecord entry) {
        try {
            return entries.readNode(entry);
        } catch (IOException e) {
            LOG.log(Level.WARNING, "event=node_unreadable key={0} reason=\"{1}\"", entry.key(), e.getMessage());
            return Optional.empty();
        }
    }

    private void putNode(NodeListing node) {
        if (node.name().equals(self.name())) {
            selfListed = node.run() == self.run();
            return;
        }
        LOG.log(Level.INFO, "event=node_listed node={0} run={1}", node.name(), Long.toString(node.run()));
        missingUntilMillis.remove(node.name());
        peerTable
                .findListing(node.name())
                .filter(known -> known.run() != node.run())
                .ifPresent(this::rememberEnd);
        peerTable.put(node, millis.getAsLong());
    }

    private void removeNode(String name) {
        selfListed &= !name.equals(self.name());
        missingUntilMillis.remove(name);
        peerTable.findListing(name).ifPresent(this::rememberEnd);
        peerTable.remove(name);
    }

    private void rememberEnd(NodeListing node) {
        endedRuns.add(Run.of(node));
        if (endedRuns.size() > MAX_ENDED_RUNS) {
            endedRuns.remove(endedRuns.iterator().next());
        }
    }

    @Override
    public synchronized void onSnapshot(Set<String> keys) {
        selfListed &= keys.contains(self.name());
        Set<String> kept = new HashSet<>(keys);
        kept.addAll(missingUntilMillis.keySet());
        peerTable.retain(kept);
    }

    @Override
    public synchronized void onRollback(Set<String> keys) {
        selfListed = false;
        long until = millis.getAsLong() + MISSING_GRACE_MILLIS;
        missingUntilMillis.clear();
        for (NodeListing node : peerTable.getListings()) {
            if (!keys.contains(node.name())) {
                missingUntilMillis.put(node.name(), until);
                LOG.log(
                        Level.INFO,
                        "event=node_missing node={0} reason=\"the rollback has lost its listing\"",
                        node.name());
            }
        }
    }

    @Override
    public synchronized void onRestored(KeyedRecord entry) {
        if (entry.isRemoval()) {
            return;
        }
        Optional<NodeListing> node = readNode(entry);
        if (node.filter(n -> endedRuns.contains(Run.of(n))).isPresent()) {
            LOG.log(Level.INFO, "event=node_ignored node={0} reason=\"its run has ended\"", entry.key());
            return;
        }
        node.ifPresent(this::putNode);
    }

    @Override
    public boolean needsOwnReads() {
        return false;
    }

    /** Returns whether the last known content of the store has the listing of this run of this node. */
    synchronized boolean isSelfListed() {
        return selfListed;
    }

    /** Removes nodes that a rollback has removed from the store, have not listed themselves again and do not report. */
    synchronized void removeExpired() {
        long now = millis.getAsLong();
        for (Map.Entry<String, Long> missing : Map.copyOf(missingUntilMillis).entrySet()) {
            if (now >= missing.getValue() && peerTable.isUnresponsive(missing.getKey(), now)) {
                removeNode(missing.getKey());
            }
        }
    }

    /** One run of a node. */
    private record Run(String node, long number) {
        static Run of(NodeListing node) {
            return new Run(node.name(), node.run());
        }
    }
}
