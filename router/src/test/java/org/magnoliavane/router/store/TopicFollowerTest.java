package org.magnoliavane.router.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.VirtualTimers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests how the nodes of one availability zone follow a topic. Pattern: the workers of a large deployment renew their
 * entries all the time, so that each read returns records although nothing has changed.
 */
public class TopicFollowerTest {
    private static final int WORKERS = 60;
    private static final long HEARTBEAT_MILLIS = 1200;
    private static final long INTERVAL_MILLIS = 2000;
    private static final long WAIT_MILLIS = 500;
    private static final long POSITION_INTERVAL_MILLIS = 500;

    private static final long BLOCKED_MILLIS = 5000;

    private VirtualTimers timers;
    private FakeKeyedStore store;
    private List<Node> nodes;
    private boolean heartbeats;
    private ReadSchedule schedule;

    @BeforeMethod
    public void createStore() {
        timers = new VirtualTimers();
        store = new FakeKeyedStore(timers);
        nodes = new ArrayList<>();
        heartbeats = true;
        schedule = new ReadSchedule(WAIT_MILLIS, INTERVAL_MILLIS, 1500, 1500, 150, 3 * INTERVAL_MILLIS / 2);
        for (int i = 0; i < WORKERS; i++) {
            store.put("w" + i, "role-a 0");
        }
        timers.at(HEARTBEAT_MILLIS, this::sendHeartbeats);
    }

    @DataProvider
    public Object[][] zones() {
        return new Object[][] {{3, true}, {20, true}, {72, true}, {20, false}, {72, false}};
    }

    /** The second pattern is a topic that does not change at all, so that each read is held open. */
    @Test(dataProvider = "zones")
    public void theCallsOfAZoneDoNotGrowWithItsNodes(int size, boolean renewed) {
        heartbeats = renewed;
        startNodes(size);
        timers.runUntil(5000);
        int before = store.getCallCount();
        timers.runUntil(65_000);
        int calls = store.getCallCount() - before;
        // One read of each of the two readers in each interval; the other nodes read nothing.
        assertTrue(calls <= 2 * 60_000 / INTERVAL_MILLIS, calls + " calls");
    }

    @Test
    public void aChangeReachesTheNodesThatDoNotReadWithinTheReadInterval() {
        startNodes(10);
        timers.runUntil(10_000);
        store.put("w7", "role-b 0");
        timers.runUntil(10_000 + INTERVAL_MILLIS);
        nodes.forEach(n -> assertEquals(n.roles.get("w7"), "role-b"));
        store.put("w8", "");
        timers.runUntil(10_000 + 2 * INTERVAL_MILLIS);
        nodes.forEach(n -> assertTrue(!n.roles.containsKey("w8")));
    }

    @Test
    public void aLostUpdateIsReadFromTheStore() {
        startNodes(3);
        timers.runUntil(10_000);
        nodes.get(2).receives = false;
        store.put("w7", "role-b 0");
        timers.runUntil(10_000 + INTERVAL_MILLIS);
        nodes.get(2).receives = true;
        timers.runUntil(10_000 + INTERVAL_MILLIS + 2 * POSITION_INTERVAL_MILLIS);
        assertEquals(nodes.get(2).roles.get("w7"), "role-b");
    }

    /**
     * Guards against a notice that other nodes never learn: the reader knew the record from a later page of its snapshot, and did
     * not pass it on with the changes.
     */
    @Test
    public void aChangeThatAReaderKnowsFromItsSnapshotIsPassedOn() {
        heartbeats = false;
        nodes.add(new Node(true));
        nodes.add(new Node(false));
        nodes.forEach(n -> n.follower.refresh());
        timers.runUntil(10_000);
        store.setOnSnapshot(() -> {
            store.setOnSnapshot(() -> {});
            store.put("w7", "role-b 0");
        });
        store.loseHistory();
        timers.runUntil(10_000 + 3 * INTERVAL_MILLIS);
        nodes.forEach(n -> assertEquals(n.roles.get("w7"), "role-b"));
    }

    @Test
    public void aNodeReadsItselfWhenItsReadersFallSilent() {
        startNodes(3);
        timers.runUntil(10_000);
        nodes.get(0).sends = false;
        nodes.get(1).sends = false;
        store.put("w7", "role-b 0");
        timers.runUntil(10_000 + 1500);
        assertEquals(nodes.get(2).roles.get("w7"), "role-b");
    }

    /** Guards against requests for a draining worker, which must end after twice the interval of reads. */
    @Test
    public void readersThatAreCutOffFromTheStoreDoNotKeepOthersFromReadingInTime() {
        startNodes(3);
        timers.runUntil(10_000);
        nodes.get(0).cutOff();
        nodes.get(1).cutOff();
        store.put("w7", "role-b 0");
        timers.runUntil(10_000 + (long) (1.75 * INTERVAL_MILLIS));
        assertEquals(nodes.get(2).roles.get("w7"), "role-b");
    }

    @DataProvider
    public Object[][] phases() {
        return IntStream.range(0, 40).mapToObj(i -> new Object[] {50L * i}).toArray(Object[][]::new);
    }

    /**
     * Guards against a notice that is learned too late by a node that relied on others, when these fall silent and its own first
     * read gets no response.
     */
    @Test(dataProvider = "phases")
    public void aNodeThatStopsRelyingOnOthersKnowsANoticeInTimeThoughItsFirstReadGetsNoResponse(long phase) {
        long targetMillis = 2000;
        heartbeats = false;
        schedule = ReadSchedule.within(targetMillis);
        Node node = new Node(false);
        nodes.add(node);
        node.follower.refresh();
        timers.runUntil(5000);
        TopicUpdate position = node.follower.findPosition().orElseThrow();
        for (long at = 5000; at <= 10_000 + phase; at += POSITION_INTERVAL_MILLIS) {
            timers.runUntil(at);
            // The age grows while the reader's own read is held open.
            long ageMillis = (at - 5000) % (2 * POSITION_INTERVAL_MILLIS);
            node.follower.applyUpdate(
                    new TopicUpdate(Topic.WORKERS, position.to(), position.to(), List.of(), ageMillis, 0));
        }
        timers.runUntil(10_000 + phase);
        store.loseRead();
        store.put("w7", "role-b 0");
        timers.runUntil(10_000 + phase + targetMillis);
        assertEquals(node.roles.get("w7"), "role-b");
    }

    @DataProvider
    public Object[][] responseTimes() {
        return new Object[][] {{4, 0}, {90, 0}, {140, 1}, {250, 1}};
    }

    /** Guards against calls that cost money although nothing is lost. */
    @Test(dataProvider = "responseTimes")
    public void aStoreThatRespondsInItsUsualTimeGetsNoHedgedReads(long responseMillis, int hedgedReads) {
        heartbeats = false;
        schedule = ReadSchedule.within(2000);
        startNodes(1);
        timers.runUntil(5000);
        store.setResponseMillis(responseMillis);
        int before = store.getCallCount();
        timers.runUntil(65_000);
        int calls = store.getCallCount() - before;
        // Each read is held open for 1000 ms.
        assertTrue(calls <= 60_000 / (1000 + responseMillis) + 1 + hedgedReads, calls + " calls");
    }

    /** Guards against a store that is called more often because it is down. */
    @Test
    public void aStoreThatDoesNotRespondGetsHedgedReadsOnce() {
        heartbeats = false;
        schedule = ReadSchedule.within(2000);
        startNodes(1);
        timers.runUntil(5000);
        store.setUnresponsive(true);
        int before = store.getCallCount();
        timers.runUntil(35_000);
        int calls = store.getCallCount() - before;
        // The read with its three hedged ones, and retries that take 1200 ms and follow after up to 1000 ms.
        assertTrue(calls <= 4 + 30_000 / 2200 + 4, calls + " calls");
    }

    /** Guards against an old list at a node that reads for others while another node of its zone knows a newer one. */
    @Test
    public void aReaderUsesTheUpdatesOfOthersOnlyWhileItsOwnReadsAreLate() {
        heartbeats = false;
        schedule = ReadSchedule.within(2000);
        startNodes(1);
        Node node = nodes.get(0);
        timers.runUntil(5000);
        long end = store.getEnd();
        TopicUpdate update =
                new TopicUpdate(Topic.WORKERS, end, end + 1, List.of(new KeyedRecord("w7", new byte[0], end)), 0, 0);
        node.follower.applyUpdateIfLate(update);
        assertTrue(node.roles.containsKey("w7"));
        store.setUnresponsive(true);
        timers.runUntil(timers.now() + 1500);
        node.follower.applyUpdateIfLate(update);
        assertTrue(!node.roles.containsKey("w7"));
        assertEquals(node.follower.getAgeMillis(), 0);
        int before = store.getCallCount();
        timers.runUntil(timers.now() + 3000);
        assertTrue(store.getCallCount() > before, "the node has stopped reading");
    }

    /**
     * Guards against requests to a worker that has left, because the node was cut off from the store and no other node of its zone
     * told it.
     */
    @Test(dataProvider = "phases")
    public void aNodeThatIsCutOffLearnsOfARemovalInTimeFromANodeThatItAsks(long phase) {
        long targetMillis = 2000;
        heartbeats = false;
        schedule = ReadSchedule.within(targetMillis);
        startNodes(1);
        Node connected = nodes.get(0);
        FakeKeyedStore reached = store;
        store = new FakeKeyedStore(timers);
        for (int i = 0; i < WORKERS; i++) {
            store.put("w" + i, "role-a 0");
        }
        List<TopicFollower> self = new ArrayList<>();
        Node cutOff = new Node(
                true,
                position -> connected
                        .follower
                        .findUpdateFor(position)
                        .ifPresent(u -> self.get(0).applyUpdateIfLate(u)));
        self.add(cutOff.follower);
        cutOff.follower.refresh();
        timers.runUntil(10_000 + phase);
        store.setUnresponsive(true);
        for (int i = 0; i < 3; i++) {
            String worker = "w" + i;
            reached.put(worker, "");
            store.put(worker, "");
            timers.runUntil(timers.now() + targetMillis);
            assertTrue(!cutOff.roles.containsKey(worker), worker);
        }
        assertEquals(cutOff.roles.size(), WORKERS - 3);
    }

    @DataProvider
    public Object[][] silencePhases() {
        return IntStream.range(0, 100)
                .mapToObj(i -> new Object[] {50L * (i / 2), i % 2 == 0})
                .toArray(Object[][]::new);
    }

    /**
     * Guards against requests to the old service of a route, because the connections to the store went silent, and the open
     * reads of the configuration were given up later than the time of contact allows.
     */
    @Test(dataProvider = "silencePhases")
    public void aRareChangeIsKnownInTimeThoughTheConnectionsToTheStoreHaveGoneSilent(long phase, boolean reader) {
        long contactMillis = 3000;
        heartbeats = false;
        schedule = ReadSchedule.heldOpenWithin(contactMillis);
        nodes.add(new Node(true));
        nodes.add(new Node(false));
        nodes.forEach(n -> n.follower.refresh());
        timers.runUntil(10_000 + phase);
        // The first read of each node after the silence uses an old connection as well.
        store.loseRead();
        if (!reader) {
            nodes.get(0).cutOff();
        }
        store.put("w7", "role-b 0");
        timers.runUntil(10_000 + phase + contactMillis);
        assertEquals(nodes.get(reader ? 0 : 1).roles.get("w7"), "role-b");
    }

    /** Guards against a schedule whose parts exceed the time in which a change must be known after a silence. */
    @Test
    public void thePartsOfTheScheduleOfARareChangeAddUpToLessThanItsTime() {
        for (long millis : new long[] {2000, 3000, 6000, 30_000}) {
            ReadSchedule rare = ReadSchedule.heldOpenWithin(millis);
            long needed = rare.overdueMillis() + rare.responseMillis() + rare.retryMillis();
            assertTrue(needed < millis, needed + " of " + millis);
            assertTrue(rare.waitMillis() < rare.overdueMillis());
        }
    }

    /** Guards against workers dropped for good because their entries expired in an outage that a node did not notice. */
    @Test
    public void allNodesLearnOfTheGapOfAnOutageBeforeItsRecords() {
        startNodes(3);
        timers.runUntil(10_000);
        store.setDown(true);
        timers.runUntil(10_000 + 2 * INTERVAL_MILLIS);
        store.setDown(false);
        nodes.forEach(n -> n.events.clear());
        store.put("w7", "");
        timers.runUntil(10_000 + 3 * INTERVAL_MILLIS);
        nodes.forEach(n -> assertEquals(n.events, List.of("gap", "removed w7")));
    }

    @Test
    public void eachReadTellsHowLongNothingNewWasKnown() {
        startNodes(3);
        timers.runUntil(10_000);
        for (int i = 0; i < 2 * INTERVAL_MILLIS / 100; i++) {
            timers.runUntil(10_000 + 100 * i);
            nodes.forEach(n ->
                    assertTrue(n.lastGap.millis() <= INTERVAL_MILLIS + WAIT_MILLIS, n.lastGap + " at " + timers.now()));
        }
        assertEquals(nodes.get(0).lastGap.source(), ReadGap.Source.STORE);
        assertEquals(nodes.get(2).lastGap.source(), ReadGap.Source.PEER);
        store.setDown(true);
        timers.runUntil(20_000);
        store.setDown(false);
        store.put("w7", "role-b 0");
        timers.runUntil(20_000 + INTERVAL_MILLIS);
        store.put("w7", "role-c 0");
        timers.runUntil(20_000 + 2 * INTERVAL_MILLIS);
        assertTrue(nodes.get(0).longestGapMillis >= 4000, "longest gap " + nodes.get(0).longestGapMillis);
    }

    /** Guards against a deadlock of the lock of a follower with those of its listeners, which stopped all timers of a process. */
    @Test
    public void theFollowerIsNotLockedWhileItsListenerIsCalled() {
        List<TopicFollower> followers = new ArrayList<>();
        List<Boolean> returned = new ArrayList<>();
        Runnable ask = () -> returned.add(!returned.contains(false)
                && returnsOnAnotherThread(() -> followers.forEach(TopicFollower::findPosition)));
        followers.add(createFollower(new CallingListener(ask), update -> ask.run()));
        followers.get(0).refresh();
        timers.runUntil(100);
        assertTrue(returned.size() > WORKERS && !returned.contains(false), returned.toString());
    }

    private static boolean returnsOnAnotherThread(Runnable call) {
        Thread thread = new Thread(call);
        thread.setDaemon(true);
        thread.start();
        try {
            thread.join(BLOCKED_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return !thread.isAlive();
    }

    @DataProvider
    public Object[][] listenerFailures() {
        return new Object[][] {{new IllegalStateException("test")}, {new StackOverflowError("test")}};
    }

    /** Guards against a topic that is never read again after its listener has thrown, and requests that wait for its refresh. */
    @Test(dataProvider = "listenerFailures")
    public void aFollowerGoesOnAfterItsListenerHasFailed(Throwable failure) {
        Node node = new Node(false);
        node.failure = Optional.of(failure);
        CompletableFuture<Void> refresh = node.follower.refresh().toCompletableFuture();
        timers.runUntil(3 * INTERVAL_MILLIS);
        assertTrue(refresh.isDone());
        node.failure = Optional.empty();
        store.put("w7", "role-b 0");
        timers.runUntil(6 * INTERVAL_MILLIS);
        assertEquals(node.roles.get("w7"), "role-b");
    }

    /** Guards against workers that are not known because another writer's entry before them could not be handled. */
    @Test(dataProvider = "listenerFailures")
    public void aRecordThatTheListenerCannotHandleDoesNotStopTheOthers(Throwable failure) {
        Node node = new Node(false);
        node.failure = Optional.of(failure);
        node.failingKey = "w30";
        node.follower.refresh();
        timers.runUntil(100);
        assertEquals(node.roles.size(), WORKERS - 1);
    }

    /** Guards against records that are taken for old because their offsets were assigned before the rollback. */
    @Test
    public void recordsAtOffsetsThatAreAssignedASecondTimeAreRead() {
        heartbeats = false;
        startNodes(3);
        timers.runUntil(5000);
        int copyEnd = store.getEnd();
        store.put("w7", "role-b 0");
        store.put("w8", "role-b 0");
        timers.runUntil(10_000);
        store.rollBack(copyEnd);
        store.put("w7", "role-c 0");
        timers.runUntil(14_000);
        nodes.forEach(n -> assertEquals(n.events, List.of("rollback " + WORKERS)));
        store.put("w8", "role-c 0");
        timers.runUntil(14_000 + 2 * INTERVAL_MILLIS);
        nodes.forEach(n -> assertEquals(n.restored.get("w7"), "role-c 0"));
        nodes.forEach(n -> assertEquals(n.roles.get("w8"), "role-c"));
    }

    /** Guards against a topic that is read no more, or read as if only records were deleted, after the log became shorter. */
    @Test
    public void aReadBeyondTheEndLeadsToTheSnapshotOfTheNewEpoch() {
        heartbeats = false;
        nodes.add(new Node(false));
        nodes.get(0).follower.refresh();
        timers.runUntil(5000);
        store.rollBack(WORKERS - 10);
        timers.runUntil(9000);
        assertEquals(nodes.get(0).events, List.of("rollback " + (WORKERS - 10)));
        assertEquals(nodes.get(0).roles.size(), WORKERS, "the known state stays in force");
        assertEquals(nodes.get(0).follower.getEra(), 1);
    }

    /** Guards against entries that return, or positions that move, by what a node has read before the rollback. */
    @Test
    public void anUpdateOfAnOlderEpochIsIgnoredAndOneOfANewerEpochLeadsToAReadOfItsOwn() {
        heartbeats = false;
        Node node = new Node(false);
        nodes.add(node);
        node.follower.refresh();
        timers.runUntil(5000);
        int calls = store.getCallCount();
        store.rollBack(WORKERS - 10);
        node.follower.applyUpdate(new TopicUpdate(Topic.WORKERS, 50, 50, List.of(), 0, 1));
        timers.runUntil(5100);
        assertEquals(node.events, List.of("rollback " + (WORKERS - 10)));
        assertEquals(store.getCallCount(), calls + 2, "the snapshot and the next read of changes");
        KeyedRecord old = new KeyedRecord("w7", "role-b 0".getBytes(), WORKERS + 9);
        node.follower.applyUpdate(new TopicUpdate(Topic.WORKERS, 50, WORKERS + 10, List.of(old), 0, 0));
        assertEquals(node.roles.get("w7"), "role-a");
        assertEquals(node.follower.findPosition().orElseThrow().to(), WORKERS - 10);
    }

    /** Guards against state that a late response replaces by the one before the rollback. */
    @Test
    public void aResponseThatBeganBeforeTheRollbackIsDropped() {
        heartbeats = false;
        Node node = new Node(false);
        nodes.add(node);
        node.follower.refresh();
        timers.runUntil(5000);
        store.setResponseMillis(1000);
        node.follower.refresh();
        timers.runUntil(5500);
        store.rollBack(WORKERS - 10);
        store.setResponseMillis(4);
        node.follower.observeEra(1);
        timers.runUntil(5600);
        assertEquals(node.follower.getEra(), 1);
        timers.runUntil(7000);
        assertEquals(node.follower.getEra(), 1);
        assertEquals(node.follower.findPosition().orElseThrow().to(), WORKERS - 10);
        assertEquals(node.events, List.of("rollback " + (WORKERS - 10)));
    }

    /** Guards against a node that keeps positions of the old epoch, because it was cut off or frozen during the rollback. */
    @Test
    public void aNodeThatWasCutOffDuringTwoRollbacksReadsTheNewestEpoch() {
        heartbeats = false;
        startNodes(3);
        timers.runUntil(5000);
        Node cutOff = nodes.get(2);
        cutOff.receives = false;
        store.setUnresponsive(true);
        timers.runUntil(8000);
        store.rollBack(WORKERS - 10);
        store.put("w55", "role-b 0");
        store.rollBack(WORKERS - 20);
        store.put("w56", "role-b 0");
        store.setUnresponsive(false);
        timers.runUntil(12_000);
        cutOff.receives = true;
        timers.runUntil(14_000);
        nodes.forEach(n -> assertEquals(n.follower.getEra(), 2));
        nodes.forEach(n ->
                assertEquals(n.events.stream().filter(e -> !e.equals("gap")).toList(), List.of("rollback 41")));
        nodes.forEach(n -> assertEquals(n.restored.get("w56"), "role-b 0"));
    }

    /** Guards against reads for ever because one node names an epoch that the store does not have. */
    @Test
    public void anEpochThatTheStoreDoesNotHaveLeadsToOneSnapshot() {
        heartbeats = false;
        Node node = new Node(false);
        nodes.add(node);
        node.follower.refresh();
        timers.runUntil(5000);
        int before = store.getCallCount();
        for (int i = 0; i < 10; i++) {
            node.follower.observeEra(7);
            timers.runUntil(timers.now() + 50);
        }
        assertEquals(store.getCallCount(), before + 2, "the snapshot and the next read of changes");
        assertEquals(node.events, List.of());
    }

    private TopicFollower createFollower(TopicListener listener, Consumer<TopicUpdate> onRead) {
        return createFollower(listener, onRead, position -> {});
    }

    private TopicFollower createFollower(
            TopicListener listener, Consumer<TopicUpdate> onRead, Consumer<TopicUpdate> onLate) {
        return new TopicFollower(
                new TopicSource(store, Topic.WORKERS, schedule),
                listener,
                timers,
                timers::now,
                onRead,
                onLate,
                LoopFailures.create(new MetricRegistry()));
    }

    private void startNodes(int count) {
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i < 2));
        }
        nodes.forEach(n -> n.follower.refresh());
    }

    private void sendHeartbeats() {
        for (int i = 0; i < WORKERS; i++) {
            String role = nodes.isEmpty() ? "role-a" : nodes.get(0).roles.get("w" + i);
            if (heartbeats && role != null && i > 8) {
                store.put("w" + i, role + " " + timers.now());
            }
        }
        timers.schedule(this::sendHeartbeats, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A node of the zone; the first two of a zone are its readers. */
    private final class Node implements TopicListener {
        private final Map<String, String> roles = new HashMap<>();
        private final List<String> events = new ArrayList<>();
        private final Map<String, String> restored = new HashMap<>();
        private final boolean reader;
        private final TopicFollower follower;
        private Optional<Throwable> failure = Optional.empty();
        private String failingKey = "";
        private boolean sends = true;
        private boolean receives = true;
        private Optional<TopicUpdate> lastPosition = Optional.empty();
        private long cutOffMillis;
        private long longestGapMillis;
        private ReadGap lastGap = new ReadGap(0, ReadGap.Source.STORE);

        Node(boolean reader) {
            this(reader, position -> {});
        }

        Node(boolean reader, Consumer<TopicUpdate> onLate) {
            this.reader = reader;
            follower = createFollower(this, this::send, onLate);
            if (reader) {
                timers.schedule(this::sendPosition, POSITION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        /** Lets the node go on sending the position that it has now, as if its reads got no response any more. */
        private void cutOff() {
            lastPosition = follower.findPosition();
            cutOffMillis = timers.now();
        }

        private void sendPosition() {
            lastPosition.map(this::withGrowingAge).or(follower::findPosition).ifPresent(this::send);
            timers.schedule(this::sendPosition, POSITION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }

        private TopicUpdate withGrowingAge(TopicUpdate position) {
            long ageMillis = position.ageMillis() + timers.now() - cutOffMillis;
            return new TopicUpdate(
                    position.topic(), position.from(), position.to(), List.of(), ageMillis, position.era());
        }

        private void send(TopicUpdate update) {
            boolean lost =
                    lastPosition.isPresent() && update.to() > lastPosition.get().to();
            if (reader && sends && !lost) {
                nodes.stream().filter(n -> !n.reader && n.receives).forEach(n -> n.follower.applyUpdate(update));
            }
        }

        @Override
        public void onRead(ReadGap gap) {
            lastGap = gap;
            if (gap.millis() > INTERVAL_MILLIS + WAIT_MILLIS) {
                events.add("gap");
            }
            longestGapMillis = Math.max(longestGapMillis, gap.millis());
        }

        @Override
        public boolean onChange(KeyedRecord change) {
            if (failure.isPresent() && change.key().startsWith(failingKey)) {
                failure.filter(Error.class::isInstance).map(Error.class::cast).ifPresent(e -> {
                    throw e;
                });
                throw new IllegalStateException(failure.get());
            }
            if (change.isRemoval()) {
                roles.remove(change.key());
                events.add("removed " + change.key());
                return true;
            }
            String role = new String(change.value()).split(" ")[0];
            return !role.equals(roles.put(change.key(), role));
        }

        @Override
        public void onSnapshot(Set<String> keys) {
            roles.keySet().retainAll(keys);
        }

        @Override
        public void onRollback(Set<String> keys) {
            events.add("rollback " + keys.size());
        }

        @Override
        public void onRestored(KeyedRecord entry) {
            restored.put(entry.key(), new String(entry.value()));
        }

        @Override
        public boolean needsOwnReads() {
            return false;
        }
    }

    /** A listener that makes a call whenever it is called. */
    private record CallingListener(Runnable call) implements TopicListener {
        @Override
        public void onRead(ReadGap gap) {
            call.run();
        }

        @Override
        public boolean onChange(KeyedRecord change) {
            call.run();
            return true;
        }

        @Override
        public void onSnapshot(Set<String> keys) {
            call.run();
        }

        @Override
        public void onRollback(Set<String> keys) {
            call.run();
        }

        @Override
        public void onRestored(KeyedRecord entry) {
            call.run();
        }

        @Override
        public boolean needsOwnReads() {
            return false;
        }
    }
}
