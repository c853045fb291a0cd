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

    /** Guards against nodes with different versions in force after concurrent publications. */
    @Test
    public void theFirstPublicationBasedOnTheCurrentVersionIsAcceptedAndTheOthersAreRejectedWithTheReason() {
        List<RecordOutcome> outcomes = new ArrayList<>();
        ConfigurationLogState state = ConfigurationLogState.initial()
                .withPage(
                        0,
                        toRecords(0, publish(0, "a"), publish(0, "b"), publish(1, "c"), bytes("{"), publish(5, "d")),
                        outcomes::add);
        assertEquals(
                outcomes.stream().map(RecordOutcome::kind).toList(),
                List.of(Kind.ACCEPTED, Kind.REJECTED, Kind.ACCEPTED, Kind.UNREADABLE, Kind.REJECTED));
        assertTrue(outcomes.get(1).reason().contains("base is 0, but the current version is 1"));
        assertEquals(state.findCurrent().orElseThrow().text(), text("c"));
        assertEquals(state.getCounts(), new RecordCounts(2, 2, 1, 5));
    }

    @Test
    public void anInvalidTextIsRejectedAndTheNextOneWithTheSameBaseIsAccepted() {
        byte[] wrong = new Publication(0, 1, "port = 1", "ann", "x").toBytes();
        ConfigurationLogState state = replay(0, wrong, publish(0, "a"));
        assertEquals(state.getVersion(), 1);
        assertEquals(state.getCounts().rejected(), 1);
    }

    /** Guards against a delayed snapshot that hides a publication between its offset and its own record. */
    @Test
    public void aDelayedSnapshotMakesTheReaderGoBackToANewerPublication() {
        List<StreamRecord> records = toRecords(7, publish(3, "d"), snapshot(3, 6, "c"), publish(4, "e"));
        ConfigurationLogState state = ConfigurationLogState.initial().withPage(7, records, o -> {});
        assertEquals(state.getVersion(), 3);
        assertEquals(state.getNextOffset(), 7);
        state = state.withPage(7, records, o -> {});
        assertEquals(state.getVersion(), 5);
        assertEquals(state.getCounts().accepted(), 2);
    }

    /** Guards against a new node that misses a publication between the offset of the snapshot and the oldest record. */
    @Test
    public void aSnapshotIsNotAdoptedWhenRecordsAfterItsOffsetHaveBeenRemoved() {
        ConfigurationLogState state = replay(8, snapshot(3, 6, "c"), publish(3, "d"));
        assertFalse(state.isComplete());
        assertEquals(state.getVersion(), 0);
    }

    @Test
    public void aReaderOfATruncatedStreamContinuesFromThePeersState() {
        ConfigurationLogState state = replay(8, publish(3, "d")).withPeerState(3, 8, text("c"));
        assertTrue(state.isComplete());
        state = state.withPage(8, toRecords(8, publish(3, "d")), o -> {});
        assertEquals(state.getVersion(), 4);
    }

    @Test
    public void aPeersStateOlderThanTheOldestRecordIsPutInForceButLeavesTheReaderIncomplete() {
        ConfigurationLogState state = replay(8, publish(3, "d")).withPeerState(3, 5, text("c"));
        assertEquals(state.getVersion(), 3);
        assertFalse(state.isComplete());
        assertEquals(state.withPeerState(2, 9, text("b")).getVersion(), 3);
    }

    @DataProvider
    public Object[][] snapshotsThatNoNodeWrites() {
        return new Object[][] {{9, 0, "a"}, {1, 0, "other"}, {1, 5, "a"}, {0, 0, "a"}, {1, -2, "a"}};
    }

    @Test(dataProvider = "snapshotsThatNoNodeWrites")
    public void aSnapshotThatContradictsTheHistoryIsRejected(int version, int asOf, String text) {
        ConfigurationLogState state = replay(0, publish(0, "a"), snapshot(version, asOf, text));
        assertEquals(state.getVersion(), 1);
        assertEquals(state.getCounts().rejected(), 1);
    }

    /**
     * Guards against readers with different versions after the same records. Each seed creates a stream with
     * concurrent, repeated, invalid and unreadable records and with snapshots of lagging nodes. The readers start at
     * any offset, miss records that retention removes while they read, and receive states of peers.
     */
    @Test
    public void allReadersOfTheSameRecordsEndWithTheSameVersion() {
        int completed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<ConfigurationLogState> reference = new ArrayList<>(List.of(ConfigurationLogState.initial()));
            List<StreamRecord> stream = createStream(random, reference);
            for (int reader = 0; reader < 4; reader++) {
                completed += readAndCompare(seed, random, stream, reference) ? 1 : 0;
            }
        }
        // Without enough complete readers the comparison would prove nothing.
        assertTrue(completed > SEEDS, "complete readers: " + completed);
    }

    private static List<StreamRecord> createStream(SplittableRandom random, List<ConfigurationLogState> reference) {
        List<StreamRecord> stream = new ArrayList<>();
        byte[] last = bytes("x");
        for (int offset = 0; offset < RECORDS; offset++) {
            byte[] data = createRecord(random, reference, last);
            stream.add(new StreamRecord(offset, data));
            reference.add(reference.get(offset).withPage(0, stream.subList(offset, offset + 1), o -> {}));
            last = data;
        }
        return stream;
    }

    private static byte[] createRecord(SplittableRandom random, List<ConfigurationLogState> reference, byte[] last) {
        ConfigurationLogState now = reference.get(reference.size() - 1);
        return switch (random.nextInt(10)) {
            case 0 -> bytes("{\"kind\":\"publish\",\"base\":\"x\"}");
            case 1 -> last;
            case 2 -> new Publication(now.getVersion(), now.getVersion() + 1, "port = 1", "", "").toBytes();
            case 3 -> publish(random.nextLong(now.getVersion() + 1), "stale" + random.nextInt());
            case 4, 5, 6 -> {
                ConfigurationLogState lagging =
                        reference.get(reference.size() - 1 - random.nextInt(Math.min(5, reference.size())));
                yield lagging.findCurrent()
                        .map(c ->
                                new Snapshot(lagging.getVersion(), lagging.getAppliedOffset() - 1, c.text()).toBytes())
                        .orElse(last);
            }
            default -> publish(now.getVersion(), "v" + random.nextInt());
        };
    }

    private static boolean readAndCompare(
            int seed, SplittableRandom random, List<StreamRecord> stream, List<ConfigurationLogState> reference) {
        ConfigurationLogState state = ConfigurationLogState.initial();
        int first = random.nextInt(3) == 0 ? 0 : random.nextInt(RECORDS);
        for (int step = 0; step < 200 && (step < 5 || state.getNextOffset() < RECORDS); step++) {
            long before = state.getVersion();
            if (random.nextInt(6) == 0) {
                ConfigurationLogState peer = reference.get(random.nextInt(reference.size()));
                String text =
                        peer.findCurrent().map(AcceptedConfiguration::text).orElse("");
                state = state.withPeerState(peer.getVersion(), peer.getAppliedOffset(), text);
            }
            int from = (int) Math.max(first, state.getNextOffset());
            int to = Math.min(RECORDS, from + 1 + random.nextInt(6));
            state = state.withPage(first, stream.subList(Math.min(from, to), to), o -> {});
            assertTrue(state.getVersion() >= before, "seed " + seed + ": version decreased to " + state);
            ConfigurationLogState expected = reference.get((int) state.getAppliedOffset());
            assertEquals(state.getVersion(), expected.getVersion(), "seed " + seed + ": " + state);
            assertEquals(state.findCurrent(), expected.findCurrent(), "seed " + seed);
            first = Math.min(RECORDS, first + random.nextInt(3) / 2);
        }
        assertTrue(!state.isComplete() || state.getAppliedOffset() == state.getNextOffset(), "seed " + seed);
        return state.isComplete() && state.getNextOffset() == RECORDS;
    }

    private static ConfigurationLogState replay(long first, byte[]... records) {
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
