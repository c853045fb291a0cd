package org.magnoliavane.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.magnoliavane.config.ConfigurationRecord.Publication;
import org.magnoliavane.config.ConfigurationRecord.Snapshot;
import org.magnoliavane.config.RecordOutcome.Kind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ConfigurationLogStateTest {
    private static final int SEEDS = 400;
    private static final int RECORDS = 40;

    /** Guards against two nodes that put different publications in force when operators publish at the same time. */
    @Test
    public void theFirstPublicationOnTheCurrentVersionWinsAndTheRestIsRejectedWithTheReason() {
        List<RecordOutcome> outcomes = new ArrayList<>();
        ConfigurationLogState fold = ConfigurationLogState.initial()
                .withPage(
                        0,
                        toRecords(0, publish(0, "a"), publish(0, "b"), publish(1, "c"), bytes("{"), publish(5, "d")),
                        outcomes::add);
        assertEquals(
                outcomes.stream().map(RecordOutcome::kind).toList(),
                List.of(Kind.ACCEPTED, Kind.REJECTED, Kind.ACCEPTED, Kind.UNREADABLE, Kind.REJECTED));
        assertTrue(outcomes.get(1).reason().contains("base is 0, but the current version is 1"));
        assertEquals(fold.findCurrent().orElseThrow().text(), text("c"));
        assertEquals(fold.getCounts(), new RecordCounts(2, 2, 1, 5));
    }

    @Test
    public void aTextThatFailsTheChecksIsRejectedAndTheNextOnTheSameBaseIsAccepted() {
        byte[] wrong = new Publication(0, 1, "port = 1", "ann", "x").toBytes();
        ConfigurationLogState fold = fold(0, wrong, publish(0, "a"));
        assertEquals(fold.getVersion(), 1);
        assertEquals(fold.getCounts().rejected(), 1);
    }

    /** Guards against a snapshot whose append was delayed and that hides a publication between. */
    @Test
    public void aLateSnapshotBehindANewerPublicationLeadsBackToThatPublication() {
        List<StreamRecord> records = toRecords(7, publish(3, "d"), snapshot(3, 6, "c"), publish(4, "e"));
        ConfigurationLogState fold = ConfigurationLogState.initial().withPage(7, records, o -> {});
        assertEquals(fold.getVersion(), 3);
        assertEquals(fold.getNextOffset(), 7);
        fold = fold.withPage(7, records, o -> {});
        assertEquals(fold.getVersion(), 5);
        assertEquals(fold.getCounts().accepted(), 2);
    }

    /** Guards against a new node that misses a publication between the snapshot's offset and the oldest record. */
    @Test
    public void aSnapshotIsNotTakenWhenRecordsBehindItHaveBeenRemoved() {
        ConfigurationLogState fold = fold(8, snapshot(3, 6, "c"), publish(3, "d"));
        assertFalse(fold.isComplete());
        assertEquals(fold.getVersion(), 0);
    }

    @Test
    public void aReaderOnATruncatedStreamGoesOnFromThePeersState() {
        ConfigurationLogState fold = fold(8, publish(3, "d")).withPeerState(3, 8, text("c"));
        assertTrue(fold.isComplete());
        fold = fold.withPage(8, toRecords(8, publish(3, "d")), o -> {});
        assertEquals(fold.getVersion(), 4);
    }

    @Test
    public void aPeersStateFromBeforeTheOldestRecordIsInForceButLeavesTheReaderIncomplete() {
        ConfigurationLogState fold = fold(8, publish(3, "d")).withPeerState(3, 5, text("c"));
        assertEquals(fold.getVersion(), 3);
        assertFalse(fold.isComplete());
        assertEquals(fold.withPeerState(2, 9, text("b")).getVersion(), 3);
    }

    @DataProvider
    public Object[][] snapshotsThatNoNodeWrites() {
        return new Object[][] {{9, 0, "a"}, {1, 0, "other"}, {1, 5, "a"}, {0, 0, "a"}, {1, -2, "a"}};
    }

    @Test(dataProvider = "snapshotsThatNoNodeWrites")
    public void aSnapshotThatContradictsTheHistoryIsRejected(int version, int asOf, String text) {
        ConfigurationLogState fold = fold(0, publish(0, "a"), snapshot(version, asOf, text));
        assertEquals(fold.getVersion(), 1);
        assertEquals(fold.getCounts().rejected(), 1);
    }

    /**
     * Guards against readers that differ after the same records. Each seed makes a stream with competing, repeated,
     * invalid and unreadable records and with snapshots of lagging nodes; readers start anywhere, lose records to
     * retention while they read, and get states of peers.
     */
    @Test
    public void allReadersOfTheSameRecordsEndWithTheSameVersion() {
        int completed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<ConfigurationLogState> truth = new ArrayList<>(List.of(ConfigurationLogState.initial()));
            List<StreamRecord> stream = makeStream(random, truth);
            for (int reader = 0; reader < 4; reader++) {
                completed += readAndCompare(seed, random, stream, truth) ? 1 : 0;
            }
        }
        // Without complete readers the comparison would say nothing.
        assertTrue(completed > SEEDS, "complete readers: " + completed);
    }

    private static List<StreamRecord> makeStream(SplittableRandom random, List<ConfigurationLogState> truth) {
        List<StreamRecord> stream = new ArrayList<>();
        byte[] last = bytes("x");
        for (int offset = 0; offset < RECORDS; offset++) {
            byte[] data = makeRecord(random, truth, last);
            stream.add(new StreamRecord(offset, data));
            truth.add(truth.get(offset).withPage(0, stream.subList(offset, offset + 1), o -> {}));
            last = data;
        }
        return stream;
    }

    private static byte[] makeRecord(SplittableRandom random, List<ConfigurationLogState> truth, byte[] last) {
        ConfigurationLogState now = truth.get(truth.size() - 1);
        return switch (random.nextInt(10)) {
            case 0 -> bytes("{\"kind\":\"publish\",\"base\":\"x\"}");
            case 1 -> last;
            case 2 -> new Publication(now.getVersion(), now.getVersion() + 1, "port = 1", "", "").toBytes();
            case 3 -> publish(random.nextLong(now.getVersion() + 1), "stale" + random.nextInt());
            case 4, 5, 6 -> {
                ConfigurationLogState lagging = truth.get(truth.size() - 1 - random.nextInt(Math.min(5, truth.size())));
                yield lagging.findCurrent()
                        .map(c ->
                                new Snapshot(lagging.getVersion(), lagging.getAppliedOffset() - 1, c.text()).toBytes())
                        .orElse(last);
            }
            default -> publish(now.getVersion(), "v" + random.nextInt());
        };
    }

    private static boolean readAndCompare(
            int seed, SplittableRandom random, List<StreamRecord> stream, List<ConfigurationLogState> truth) {
        ConfigurationLogState fold = ConfigurationLogState.initial();
        int first = random.nextInt(3) == 0 ? 0 : random.nextInt(RECORDS);
        for (int step = 0; step < 200 && (step < 5 || fold.getNextOffset() < RECORDS); step++) {
            long before = fold.getVersion();
            if (random.nextInt(6) == 0) {
                ConfigurationLogState peer = truth.get(random.nextInt(truth.size()));
                String text =
                        peer.findCurrent().map(AcceptedConfiguration::text).orElse("");
                fold = fold.withPeerState(peer.getVersion(), peer.getAppliedOffset(), text);
            }
            int from = (int) Math.max(first, fold.getNextOffset());
            int to = Math.min(RECORDS, from + 1 + random.nextInt(6));
            fold = fold.withPage(first, stream.subList(Math.min(from, to), to), o -> {});
            assertTrue(fold.getVersion() >= before, "seed " + seed + ": version fell to " + fold);
            ConfigurationLogState expected = truth.get((int) fold.getAppliedOffset());
            assertEquals(fold.getVersion(), expected.getVersion(), "seed " + seed + ": " + fold);
            assertEquals(fold.findCurrent(), expected.findCurrent(), "seed " + seed);
            first = Math.min(RECORDS, first + random.nextInt(3) / 2);
        }
        assertTrue(!fold.isComplete() || fold.getAppliedOffset() == fold.getNextOffset(), "seed " + seed);
        return fold.isComplete() && fold.getNextOffset() == RECORDS;
    }

    private static ConfigurationLogState fold(long first, byte[]... records) {
        return ConfigurationLogState.initial().withPage(first, toRecords(first, records), o -> {});
    }

    private static List<StreamRecord> toRecords(long first, byte[]... records) {
        List<StreamRecord> list = new ArrayList<>();
        for (byte[] data : records) {
            list.add(new StreamRecord(first + list.size(), data));
        }
        return list;
    }

    private static byte[] publish(long base, String comment) {
        return new Publication(base, base + 1, text(comment), "ann", comment).toBytes();
    }

    private static byte[] snapshot(long version, long asOf, String comment) {
        return new Snapshot(version, asOf, text(comment)).toBytes();
    }

    private static String text(String comment) {
        return "# " + comment + "\n" + TestTexts.minimal();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
