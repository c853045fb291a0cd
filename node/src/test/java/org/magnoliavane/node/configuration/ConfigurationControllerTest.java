package org.magnoliavane.node.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

import org.magnoliavane.config.ConfigurationRecord;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.node.log.HttpLogService;
import org.magnoliavane.node.log.LogService;
import org.magnoliavane.node.log.TestLog;
import org.magnoliavane.node.log.TestLogServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ConfigurationControllerTest {
    private static final long LONG_RETENTION_MILLIS = 3_600_000;
    private static final long IN_FORCE_MILLIS = 3000;

    private final List<ConfigurationController> controllers = new ArrayList<>();
    private TestLog log;

    @BeforeMethod
    public void open() {
        log = new TestLog();
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        controllers.forEach(ConfigurationController::close);
        controllers.clear();
    }

    @Test
    public void eachNewVersionIsInForceWithin3SecondsAndDeliveredToListenersInOrder() {
        ConfigurationController node = start(LONG_RETENTION_MILLIS);
        List<Long> versions = new CopyOnWriteArrayList<>();
        node.addListener(c -> versions.add(c.version()));
        assertEquals(node.get().version(), 0);
        publish(0);
        await(() -> versions.equals(List.of(1L)));
        publish(0);
        publish(1);
        await(() -> versions.equals(List.of(1L, 2L)));
        assertEquals(node.get().version(), 2);
        await(() -> node.getCounts().rejected() == 1);
        assertEquals(node.findCurrent().orElseThrow(), new ConfigurationVersion(2, 3, text(1)));
    }

    /** Guards against a retry delay that grew during the outage and then delays the next change. */
    @Test
    public void aChangeIsInForceWithin3SecondsAfterAnOutageAndTheOldOneUntilThen() throws InterruptedException {
        ConfigurationController node = start(LONG_RETENTION_MILLIS);
        publish(0);
        await(() -> node.get().version() == 1);
        log.setOutage(true);
        await(() -> !node.isLogReachable());
        Thread.sleep(2000);
        assertEquals(node.get().version(), 1);
        log.setOutage(false);
        publish(1);
        await(() -> node.get().version() == 2);
    }

    @Test
    public void aNewNodeInAnOutageStartsFromAPeerAndContinuesFromTheLog() {
        publish(0);
        publish(1);
        log.setOutage(true);
        ConfigurationController node = start(LONG_RETENTION_MILLIS);
        await(() -> !node.isLogReachable());
        node.offer(new ConfigurationVersion(1, 1, text(0)));
        assertEquals(node.get().version(), 1);
        node.offer(new ConfigurationVersion(1, 2, "# not newer"));
        assertEquals(node.findCurrent().orElseThrow().text(), text(0));
        log.setOutage(false);
        await(() -> node.get().version() == 2);
    }

    /** Guards against a new node that accepts a publication although the version it is based on was removed. */
    @Test
    public void aNewNodeOnATruncatedStreamWaitsForAPeer() {
        publish(0);
        publish(1);
        publish(2);
        log.removeBefore(2);
        ConfigurationController node = start(LONG_RETENTION_MILLIS);
        await(() -> !node.isComplete());
        assertTrue(node.findCurrent().isEmpty());
        node.offer(new ConfigurationVersion(2, 2, text(1)));
        await(() -> node.get().version() == 3);
        assertTrue(node.isComplete());
    }

    /** Guards against the loss of the configuration when retention removes the last publication from the log. */
    @Test
    public void aVersionSurvivesRetentionAndUsuallyOneOfSevenNodesAppendsTheSnapshot() throws InterruptedException {
        long retention = 6000;
        for (int i = 0; i < 7; i++) {
            start(retention);
        }
        publish(0);
        log.loseResponses(1);
        await(() -> controllers.stream().allMatch(c -> c.get().version() == 1));
        awaitMillis(retention, () -> log.getNextOffset() >= 2);
        Thread.sleep(200);
        assertTrue(log.getNextOffset() <= 4, "snapshots: " + (log.getNextOffset() - 1));
        log.removeBefore(1);
        ConfigurationController fresh = start(retention);
        await(() -> fresh.get().version() == 1);
        assertEquals(fresh.findCurrent().orElseThrow().text(), text(0));
    }

    @Test
    public void aFailingListenerStopsNeitherTheOthersNorTheController() {
        ConfigurationController node = start(LONG_RETENTION_MILLIS);
        List<Long> versions = new CopyOnWriteArrayList<>();
        node.addListener(c -> {
            throw new IllegalStateException("test");
        });
        node.addListener(c -> versions.add(c.version()));
        publish(0);
        await(() -> versions.equals(List.of(1L)));
        publish(1);
        await(() -> versions.equals(List.of(1L, 2L)));
    }

    /** Guards against a poll that hangs on an unresponsive connection while new connections work. */
    @Test
    public void aChangeIsInForceWithin3SecondsAlthoughTheConnectionOfThePollIsUnresponsive() throws IOException {
        try (TestLogServer server = new TestLogServer();
                HttpClient client = HttpClient.open("controller-test")) {
            log = server.getLog();
            ConfigurationController node = start(new HttpLogService(client, server.getEndpoint()), 60_000);
            publish(0);
            await(() -> node.get().version() == 1);
            server.setUnresponsive(true);
            await(() -> server.getIgnoredCount() == 1);
            server.setUnresponsive(false);
            publish(1);
            await(() -> node.get().version() == 2);
        }
    }

    /** Guards against snapshots in a loop when the clock of the node is ahead of the clock of the log service. */
    @Test
    public void aNodeWhoseClockIsAheadAppendsFewSnapshots() {
        SnapshotSchedule schedule = new SnapshotSchedule(12_000, new SplittableRandom(1), 0);
        schedule.addRecord(0, 0, 0, 1_000_000);
        int attempts = 0;
        for (long now = 0; now < 12_000; now += 10) {
            if (schedule.isDue(now)) {
                schedule.addAppendAttempt(now);
                schedule.addRecord(++attempts, now, now, 1_000_000 + now);
                schedule.addSnapshot(attempts - 1, now, 1_000_000 + now);
            }
        }
        assertTrue(attempts >= 2 && attempts <= 12, "attempts: " + attempts);
        assertFalse(schedule.isDue(0));
    }

    private ConfigurationController start(long retentionMillis) {
        return start(log, retentionMillis);
    }

    private ConfigurationController start(LogService service, long retentionMillis) {
        ConfigurationController node =
                new ConfigurationController(service, retentionMillis, new SplittableRandom(controllers.size()));
        controllers.add(node);
        node.start();
        return node;
    }

    private void publish(long base) {
        log.append(
                "configuration", new ConfigurationRecord.Publication(base, base + 1, text(base), "ann", "x").toBytes());
    }

    private static String text(long base) {
        return "# on " + base + "\n" + """
                [classes.standard]
                micros_per_token = 10
                ttft_millis = 500
                [services.bookings]
                kind = "plain"
                routes = [{method = "POST", path = "/bookings"}]
                [callers.ann]
                key_sha256 = "%s"
                """.formatted("0".repeat(64));
    }

    private static void await(BooleanSupplier condition) {
        awaitMillis(IN_FORCE_MILLIS, condition);
    }

    private static void awaitMillis(long millis, BooleanSupplier condition) {
        long deadline = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "not within " + millis + " ms");
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
