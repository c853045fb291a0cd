package org.magnoliavane.router;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.StoreAvailability;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.protocol.generated.NodeReport;
import org.magnoliavane.router.peer.PeerTable;
import org.magnoliavane.router.store.EntryFormat;
import org.magnoliavane.router.store.FakeKeyedStore;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.router.store.ReadSchedule;
import org.magnoliavane.router.store.Topic;
import org.magnoliavane.router.store.TopicFollower;
import org.magnoliavane.router.store.TopicListener;
import org.magnoliavane.router.store.TopicSource;
import org.magnoliavane.router.store.TopicUpdate;
import org.magnoliavane.routing.CallerLimits;
import org.magnoliavane.routing.RoutingTable;
import org.magnoliavane.routing.ServiceProfile;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests what a node uses when the store comes back from a copy that is some seconds old. Pattern: workers, nodes and
 * configurations change between the copy and the rollback.
 */
public class StoreRollbackTest {
    private static final long GRACE_MILLIS = 2000;
    private static final long DRAIN_MILLIS = 2000;
    private static final NodeListing SELF = list("n1", 1);

    private VirtualTimers timers;
    private FakeKeyedStore store;
    private RoutingState routingState;
    private PeerTable peerTable;
    private int copyEnd;

    @BeforeMethod
    public void createStore() {
        timers = new VirtualTimers();
        store = new FakeKeyedStore(timers);
        routingState = new RoutingState();
        peerTable = new PeerTable();
    }

    /** Guards against requests to a worker that had left, because its entry returns with the copy. */
    @Test
    public void aWorkerThatHadLeftIsUsedAgainOnlyOnceItWritesItsEntry() {
        store.put("a", "ready 1");
        store.put("b", "ready 1");
        follow(createWorkerController());
        copy();
        store.put("a", "");
        timers.runUntil(10_000);
        rollBack();
        timers.runUntil(20_000);
        assertEquals(getUsed(), Set.of("b"));
        store.put("a", "ready 1");
        timers.runUntil(22_000);
        assertEquals(getUsed(), Set.of("a", "b"));
    }

    /** Guards against requests to a worker that drains, because the copy is older than its notice. */
    @Test
    public void aDrainingWorkerStaysDrainingThoughTheCopyHasItsEntryFromBefore() {
        store.put("a", "ready 1");
        follow(createWorkerController());
        copy();
        store.put("a", "draining 1");
        timers.runUntil(10_000);
        rollBack();
        for (int i = 0; i < 50; i++) {
            timers.runUntil(10_000 + 100 * i);
            assertEquals(getUsed(), Set.of());
        }
    }

    /**
     * Guards against a worker that a node never uses again: its node holds the restored entry, and the renewal does not reach
     * it because the nodes that read for the zone pass on no renewals.
     */
    @Test
    public void aNodeThatHoldsAnEntryReadsItselfUntilTheEntryIsRenewed() {
        store.put("a", "ready 1");
        TopicFollower follower = follow(createWorkerController());
        copy();
        store.put("a", "");
        timers.runUntil(10_000);
        rollBack();
        timers.runUntil(12_000);
        store.put("a", "ready 1");
        follower.applyUpdate(new TopicUpdate(Topic.WORKERS, 0, 2, List.of(), 0, 1));
        timers.runUntil(14_000);
        assertEquals(getUsed(), Set.of("a"));
    }

    /** Guards against requests to a worker that had left, at a node that starts after the rollback and knows no earlier state. */
    @Test
    public void aNodeThatStartsAfterARollbackUsesAWorkerOnceItHasRenewedItsEntry() {
        store.put("a", "ready 1");
        store.put("b", "ready 1");
        copy();
        rollBack();
        follow(createWorkerController());
        assertEquals(getUsed(), Set.of());
        store.put("b", "ready 1");
        timers.runUntil(7000);
        assertEquals(getUsed(), Set.of("b"));
    }

    /** Guards against a running worker that is dropped because the copy was taken before it was listed. */
    @Test
    public void aRunningWorkerThatTheCopyLacksIsKeptUntilItIsListedAgain() {
        store.put("a", "ready 1");
        WorkerController controller = createWorkerController();
        follow(controller);
        copy();
        store.put("b", "ready 1");
        store.put("c", "ready 1");
        timers.runUntil(10_000);
        rollBack();
        timers.runUntil(11_500);
        controller.removeExpired();
        assertEquals(getUsed(), Set.of("a", "b", "c"));
        store.put("b", "ready 1");
        timers.runUntil(13_500);
        controller.removeExpired();
        assertEquals(getUsed(), Set.of("a", "b"));
    }

    /** Guards against a worker that is not used though it has started again since the copy. */
    @Test
    public void aNewerStartOfAWorkerThatHadLeftIsUsedAtOnce() {
        store.put("a", "ready 1");
        follow(createWorkerController());
        copy();
        store.put("a", "");
        timers.runUntil(10_000);
        rollBack();
        store.put("a", "ready 2");
        timers.runUntil(12_000);
        assertEquals(getUsed(), Set.of("a"));
    }

    /** Guards against a configuration that reverts, and one that is not applied when it is published again. */
    @Test
    public void theConfigurationStaysInForceUntilANewerOneIsPublished() {
        store.put("config", "4 first");
        follow(new ConfigurationController(routingState, new PlainEntries()));
        copy();
        store.put("config", "5 lost");
        timers.runUntil(10_000);
        rollBack();
        timers.runUntil(12_000);
        assertEquals(getConfiguration(), "5 lost");
        store.put("config", "5 lost");
        timers.runUntil(14_000);
        assertEquals(getConfiguration(), "5 lost");
        store.put("config", "6 next");
        timers.runUntil(16_000);
        assertEquals(getConfiguration(), "6 next");
    }

    /** Guards against nodes that serve different configurations for good, because a lost version was published anew. */
    @Test
    public void aPublicationBesideTheRollbackReplacesTheLostOneOfTheSameVersion() {
        store.put("config", "4 first");
        follow(new ConfigurationController(routingState, new PlainEntries()));
        copy();
        store.put("config", "5 lost");
        timers.runUntil(10_000);
        rollBack();
        store.put("config", "5 other");
        timers.runUntil(12_000);
        assertEquals(getConfiguration(), "5 other");
    }

    /** Guards against a node that the others lose because its listing was written after the copy, and one that returns. */
    @Test
    public void nodesAreKeptThatTheCopyLacksAndNodesThatHadLeftDoNotReturn() {
        store.put("n1", "1");
        store.put("n2", "1");
        store.put("n3", "1");
        NodeController controller = new NodeController(peerTable, new PlainEntries(), SELF, timers::now);
        follow(controller);
        assertTrue(controller.isSelfListed());
        copy();
        store.put("n2", "");
        store.put("n3", "2");
        store.put("n4", "1");
        store.put("n5", "1");
        timers.runUntil(10_000);
        rollBack();
        timers.runUntil(12_000);
        assertEquals(getPeers(), Set.of("n3 2", "n4 1", "n5 1"));
        store.put("n4", "1");
        timers.runUntil(23_000);
        peerTable.recordReport(NodeReport.newBuilder().setNode("n3").setRun(2).build(), timers.now());
        controller.removeExpired();
        assertEquals(getPeers(), Set.of("n3 2", "n4 1"));
    }

    /** Guards against a node that stays unlisted because it does not notice that the rollback has lost its listing. */
    @Test
    public void aNodeNoticesThatItsListingIsMissing() {
        store.put("n2", "1");
        NodeController controller = new NodeController(peerTable, new PlainEntries(), SELF, timers::now);
        follow(controller);
        copy();
        store.put("n1", "1");
        timers.runUntil(10_000);
        assertTrue(controller.isSelfListed());
        rollBack();
        timers.runUntil(12_000);
        assertFalse(controller.isSelfListed());
        store.put("n1", "1");
        timers.runUntil(14_000);
        assertTrue(controller.isSelfListed());
    }

    private TopicFollower follow(TopicListener listener) {
        TopicFollower follower = new TopicFollower(
                new TopicSource(store, Topic.WORKERS, ReadSchedule.within(DRAIN_MILLIS)),
                listener,
                timers,
                timers::now,
                update -> {},
                LoopFailures.create(new MetricRegistry()));
        follower.refresh();
        timers.runUntil(5000);
        return follower;
    }

    private WorkerController createWorkerController() {
        return new WorkerController(
                routingState,
                new WorkerLoadTracker(() -> {}),
                new PlainEntries(),
                GRACE_MILLIS,
                StoreAvailability.withMinimumOutage(2400),
                timers::now,
                worker -> {});
    }

    private void copy() {
        copyEnd = store.getEnd();
    }

    private void rollBack() {
        store.rollBack(copyEnd);
    }

    private Set<String> getUsed() {
        Set<String> used = new HashSet<>();
        routingState.getWorkers("s").stream().filter(w -> !w.server().leaving()).forEach(w -> used.add(w.id()));
        return used;
    }

    private Set<String> getPeers() {
        Set<String> names = new HashSet<>();
        peerTable.getListings().forEach(n -> names.add(n.name() + " " + n.run()));
        return names;
    }

    private String getConfiguration() {
        RoutingTable table = routingState.getRoutingTable().orElseThrow();
        return table.getVersion() + " " + table.getServices().iterator().next().name();
    }

    private static NodeListing list(String name, long run) {
        return new NodeListing(name, run, "127.0.0.1", 80, 81, "z");
    }

    /** Entries whose value is a state and a start, a version and the name of a service, or a run. */
    private static final class PlainEntries implements EntryFormat {
        @Override
        public ListedWorker readWorker(KeyedRecord entry) throws IOException {
            String[] parts = new String(entry.value()).split(" ");
            return new ListedWorker(
                    new BackendServer(
                            entry.key(), "s", WorkerRole.PLAIN, "127.0.0.1", 80, "z", parts[0].equals("draining")),
                    6,
                    Long.parseLong(parts[1]));
        }

        @Override
        public Optional<RoutingTable> readConfiguration(KeyedRecord entry) throws IOException {
            String[] parts = new String(entry.value()).split(" ");
            return Optional.of(RoutingTable.create(
                    Long.parseLong(parts[0]),
                    List.of(),
                    List.of(new ServiceProfile(parts[1], 10, Optional.empty())),
                    new CallerLimits(1, 1, 1, 1),
                    List.of()));
        }

        @Override
        public Optional<NodeListing> readNode(KeyedRecord entry) throws IOException {
            return Optional.of(list(entry.key(), Long.parseLong(new String(entry.value()))));
        }
    }
}
