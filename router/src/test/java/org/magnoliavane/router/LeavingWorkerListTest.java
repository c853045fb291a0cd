package org.magnoliavane.router;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.StoreAvailability;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.router.store.EntryFormat;
import org.magnoliavane.router.store.FakeKeyedStore;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.router.store.ReadSchedule;
import org.magnoliavane.router.store.Topic;
import org.magnoliavane.router.store.TopicFollower;
import org.magnoliavane.router.store.TopicSource;
import org.magnoliavane.routing.RoutingTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests when a node stops using a worker that leaves. Pattern: workers are replaced while the node has trouble with its
 * reads of the store, which serves the workers all the time.
 */
public class LeavingWorkerListTest {
    private static final int WORKERS = 12;
    private static final long MIN_OUTAGE_MILLIS = 2400;
    private static final long REPORT_MILLIS = 250;

    /** Time after the store accepted a notice or a removal from which the worker must get no requests. */
    private static final long DRAIN_MILLIS = 2000;

    /** Time after the end of a disturbance from which a node must keep to the drain time again. */
    private static final long CONTACT_MILLIS = 3000;

    private static final long LISTING_GRACE_MILLIS = 2000;
    private static final long TICK_MILLIS = 100;
    private static final String LEAVING = "w7";

    private VirtualTimers timers;
    private FakeKeyedStore store;
    private RoutingState routingState;
    private Set<String> live;
    private StoreAvailability availability;
    private boolean othersRead;

    @BeforeMethod(alwaysRun = true)
    public void startNode() {
        timers = new VirtualTimers();
        store = new FakeKeyedStore(timers);
        routingState = new RoutingState();
        live = new HashSet<>();
        othersRead = true;
        availability = StoreAvailability.withMinimumOutage(MIN_OUTAGE_MILLIS);
        for (int i = 0; i < WORKERS; i++) {
            live.add("w" + i);
            store.put("w" + i, "ready");
        }
        WorkerController controller = new WorkerController(
                routingState,
                new WorkerLoadTracker(() -> {}),
                new PlainEntries(),
                LISTING_GRACE_MILLIS,
                availability,
                timers::now,
                worker -> {});
        TopicFollower follower = new TopicFollower(
                new TopicSource(store, Topic.WORKERS, ReadSchedule.within(DRAIN_MILLIS)),
                controller,
                timers,
                timers::now,
                update -> {},
                LoopFailures.create(new MetricRegistry()));
        follower.refresh();
        timers.at(timers.now() + REPORT_MILLIS, this::receiveReport);
        timers.at(timers.now() + TICK_MILLIS, () -> removeExpired(controller));
        timers.runUntil(10_000);
    }

    @DataProvider
    public Object[][] phases() {
        List<Object[]> phases = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            phases.add(new Object[] {50L * i});
        }
        return phases.toArray(Object[][]::new);
    }

    /**
     * Guards against requests to a worker that was removed without a notice while the node was cut off from the store: the
     * node took its own failed reads for an outage of the store and kept the worker.
     */
    @Test(dataProvider = "phases")
    public void aWorkerRemovedWhileTheNodeWasCutOffIsNotUsedOnceTheNodeIsBack(long phase) {
        store.setUnresponsive(true);
        timers.runUntil(13_000);
        remove(LEAVING);
        timers.runUntil(14_000 + phase);
        store.setUnresponsive(false);
        timers.runUntil(14_000 + phase + CONTACT_MILLIS);
        assertFalse(isUsed(LEAVING));
        assertEquals(routingState.countWorkers(), WORKERS - 1);
    }

    /** Guards against a notice that is learned too late because one read of the store got no response. */
    @Test(dataProvider = "phases")
    public void aNoticeIsKnownWithinTheDrainTimeThoughOneReadGetsNoResponse(long phase) {
        timers.runUntil(10_000 + phase);
        store.loseRead();
        store.put(LEAVING, "draining");
        live.remove(LEAVING);
        timers.runUntil(timers.now() + DRAIN_MILLIS);
        assertFalse(isUsed(LEAVING));
    }

    /** Guards against a notice that is learned too late because a slow response was followed by a read without one. */
    @Test(dataProvider = "phases")
    public void aNoticeIsKnownWithinTheDrainTimeThoughASlowStoreLosesARead(long phase) {
        store.setResponseMillis(350);
        timers.runUntil(12_000 + phase);
        store.loseRead();
        store.put(LEAVING, "draining");
        timers.runUntil(timers.now() + DRAIN_MILLIS);
        assertFalse(isUsed(LEAVING));
    }

    /** Guards against a removal that is learned too late, or deferred, because one read of the store got no response. */
    @Test(dataProvider = "phases")
    public void aRemovalTakesEffectWithinTheDrainTimeThoughOneReadGetsNoResponse(long phase) {
        timers.runUntil(10_000 + phase);
        store.loseRead();
        remove(LEAVING);
        timers.runUntil(timers.now() + DRAIN_MILLIS);
        assertFalse(isUsed(LEAVING));
    }

    /** Guards against a removal that is learned too late because several reads in a row got no response. */
    @Test(dataProvider = "phases")
    public void aRemovalTakesEffectWithinTheDrainTimeThoughThreeReadsInARowGetNoResponse(long phase) {
        timers.runUntil(10_000 + phase);
        store.loseReads(3);
        remove(LEAVING);
        timers.runUntil(timers.now() + DRAIN_MILLIS);
        assertFalse(isUsed(LEAVING));
    }

    /** Guards against requests to a worker whose notice cannot be read. */
    @Test
    public void aWorkerWhoseEntryCannotBeReadIsNotUsedUntilItCanBeReadAgain() {
        store.put(LEAVING, "garbled");
        timers.runUntil(timers.now() + DRAIN_MILLIS);
        assertFalse(isUsed(LEAVING));
        store.put(LEAVING, "ready");
        timers.runUntil(timers.now() + DRAIN_MILLIS);
        assertTrue(isUsed(LEAVING));
        store.put(LEAVING, "garbled");
        store.put(LEAVING, "");
        timers.runUntil(timers.now() + DRAIN_MILLIS);
        assertEquals(routingState.countWorkers(), WORKERS - 1);
    }

    @Test(dataProvider = "phases")
    public void workersWhoseEntriesExpiredInAnOutageStayInUseUntilTheyAreListedAgain(long phase) {
        timers.runUntil(10_000 + phase);
        othersRead = false;
        store.setUnresponsive(true);
        timers.runUntil(timers.now() + 5000);
        store.setUnresponsive(false);
        othersRead = true;
        live.forEach(id -> store.put(id, ""));
        long end = timers.now() + LISTING_GRACE_MILLIS;
        while (timers.now() < end) {
            timers.runUntil(timers.now() + TICK_MILLIS);
            assertEquals(routingState.countWorkers(), WORKERS, "at " + timers.now());
        }
        assertTrue(isUsed(LEAVING));
    }

    private void removeExpired(WorkerController controller) {
        controller.removeExpired();
        timers.schedule(() -> removeExpired(controller), TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Receives the report of another node, which reads the store unless there is an outage. */
    private void receiveReport() {
        if (othersRead) {
            availability.record(new StoreAvailability.Period(timers.now(), timers.now()));
        }
        timers.schedule(this::receiveReport, REPORT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void remove(String id) {
        live.remove(id);
        store.put(id, "");
    }

    private boolean isUsed(String id) {
        return routingState.getWorkers("s").stream()
                .anyMatch(w -> w.id().equals(id) && !w.server().leaving());
    }

    /** Entries whose value is the state of a worker. */
    private static final class PlainEntries implements EntryFormat {
        @Override
        public ListedWorker readWorker(KeyedRecord entry) throws IOException {
            String state = new String(entry.value());
            if (state.equals("garbled")) {
                throw new IOException("unknown state");
            }
            boolean leaving = state.equals("draining");
            return new ListedWorker(
                    new BackendServer(entry.key(), "s", WorkerRole.PLAIN, "127.0.0.1", 80, "z", leaving), 6, 1);
        }

        @Override
        public Optional<RoutingTable> readConfiguration(KeyedRecord entry) throws IOException {
            throw new IOException("no configuration");
        }

        @Override
        public Optional<NodeListing> readNode(KeyedRecord entry) throws IOException {
            throw new IOException("no node");
        }
    }
}
