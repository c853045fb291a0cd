package org.magnoliavane.router;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.StoreAvailability;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.router.roles.RoleController;
import org.magnoliavane.router.store.EntryFormat;
import org.magnoliavane.router.store.FakeKeyedStore;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.router.store.ReadSchedule;
import org.magnoliavane.router.store.Topic;
import org.magnoliavane.router.store.TopicFollower;
import org.magnoliavane.router.store.TopicSource;
import org.magnoliavane.router.store.TopicUpdate;
import org.magnoliavane.routing.RoutingTable;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

/** Runs the threads that apply listings, balance roles and report at the same time, and looks for a cycle of locks. */
public class LockOrderTest {
    private static final int ROUNDS = 5000;
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long CHECK_MILLIS = 100;

    private final VirtualTimers timers = new VirtualTimers();
    private final List<RoleController> roleControllers = new ArrayList<>();

    /** Guards against a process whose timers stand still, because a new role was listed while roles were balanced. */
    @Test
    public void listingsOfNewRolesAndTheBalanceOfRolesDoNotBlockEachOther() throws InterruptedException {
        WorkerController workerController = new WorkerController(
                new RoutingState(),
                new WorkerLoadTracker(() -> {}),
                new RoleEntries(),
                0,
                StoreAvailability.withMinimumOutage(1000),
                () -> 0,
                worker -> roleControllers.get(0).onRoleListed(worker));
        FakeKeyedStore store = new FakeKeyedStore(timers);
        TopicFollower follower = new TopicFollower(
                new TopicSource(store, Topic.WORKERS, ReadSchedule.within(2000)),
                workerController,
                timers,
                () -> 0,
                update -> {},
                LoopFailures.create(new MetricRegistry()));
        roleControllers.add(new RoleController(
                () -> follower.isKnown() && follower.getAgeMillis() < 0,
                new RoutingState(),
                new WorkerLoadTracker(() -> {}),
                null,
                () -> 0));
        follower.refresh();
        timers.runUntil(100);
        long end = follower.findPosition().orElseThrow().to();
        List<Thread> threads = List.of(
                start(round -> follower.applyUpdate(new TopicUpdate(
                        Topic.WORKERS,
                        end,
                        end + round + 1,
                        List.of(new KeyedRecord("w1", new byte[] {(byte) (1 + round % 2)}, end + round)),
                        0,
                        0))),
                start(round -> roleControllers.get(0).evaluateServices()),
                start(round -> roleControllers.get(0).getPendingChanges()),
                start(round -> workerController.removeExpired()));
        long endMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
        for (Thread thread : threads) {
            while (thread.isAlive() && System.currentTimeMillis() < endMillis) {
                thread.join(CHECK_MILLIS);
                assertNull(ManagementFactory.getThreadMXBean().findDeadlockedThreads(), "a cycle of locks");
            }
            assertEquals(thread.getState(), Thread.State.TERMINATED);
        }
    }

    private static Thread start(LongConsumer round) {
        Thread thread = new Thread(() -> {
            for (long i = 0; i < ROUNDS; i++) {
                round.accept(i);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static final class RoleEntries implements EntryFormat {
        @Override
        public ListedWorker readWorker(KeyedRecord entry) {
            WorkerRole role = entry.value()[0] == 1 ? WorkerRole.PREFILL : WorkerRole.DECODE;
            return new ListedWorker(new BackendServer(entry.key(), "s", role, "127.0.0.1", 80, "z", false), 6, 1);
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
