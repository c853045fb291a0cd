package org.magnoliavane.node.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/**
 * Decides when this node appends a snapshot. A new node can start from the log service as long as the stream still has
 * its first record, or a snapshot and every record after the offset that the snapshot covers. A snapshot is due at a
 * third of the retention time after the oldest record needed for that. Each node adds a random delay, and a snapshot of
 * another node postpones its own, so that usually one node appends.
 *
 * <p>Not thread-safe. Times named {@code now} come from a monotonic clock; timestamps come from the log service.
 */
final class SnapshotSchedule {
    private static final int MAX_SEEN_RECORDS = 10_000;

    private final long retentionMillis;
    private final RandomGenerator random;
    private final Deque<SeenRecord> seenRecords = new ArrayDeque<>();
    private long lastDroppedOffset = -1;
    private long dueMillis;
    private long earliestAttemptMillis = Long.MIN_VALUE;

    SnapshotSchedule(long retentionMillis, RandomGenerator random, long nowMillis) {
        this.retentionMillis = retentionMillis;
        this.random = random;
        // What the stream needs is not known yet. Nodes that are often replaced must append all the same.
        dueMillis = nowMillis + drawDelayMillis(retentionMillis / 3);
    }

    /** Takes note of a record that was read. */
    void addRecord(long offset, long timestampMillis, long nowMillis, long wallMillis) {
        if (!seenRecords.isEmpty() && seenRecords.getLast().offset >= offset) {
            return;
        }
        seenRecords.addLast(new SeenRecord(offset, timestampMillis));
        if (offset == 0) {
            reschedule(timestampMillis, nowMillis, wallMillis);
        }
        if (seenRecords.size() > MAX_SEEN_RECORDS) {
            lastDroppedOffset = seenRecords.removeFirst().offset;
        }
    }

    /** Takes note of a snapshot by which a new node can start, after its own record was added. */
    void addSnapshot(long asOf, long nowMillis, long wallMillis) {
        while (!seenRecords.isEmpty() && seenRecords.getFirst().offset <= asOf) {
            seenRecords.removeFirst();
        }
        if (asOf >= lastDroppedOffset && !seenRecords.isEmpty()) {
            reschedule(seenRecords.getFirst().timestampMillis, nowMillis, wallMillis);
        }
    }

    /** Takes note that this node tries to append; the next try comes after a while also when the clocks differ. */
    void addAppendAttempt(long nowMillis) {
        earliestAttemptMillis = nowMillis + retentionMillis / 12;
        dueMillis = Math.max(dueMillis, earliestAttemptMillis + drawDelayMillis(retentionMillis / 12));
    }

    boolean isDue(long nowMillis) {
        return nowMillis >= dueMillis && nowMillis >= earliestAttemptMillis;
    }

    private void reschedule(long neededTimestampMillis, long nowMillis, long wallMillis) {
        long age = Math.max(0, wallMillis - neededTimestampMillis);
        long rest = Math.max(0, retentionMillis / 3 - age);
        // The delay is short when little of the retention time is left.
        long spread = age > retentionMillis / 2 ? retentionMillis / 60 : retentionMillis / 6;
        dueMillis = nowMillis + rest + drawDelayMillis(spread);
    }

    private long drawDelayMillis(long boundMillis) {
        return random.nextLong(boundMillis + 1);
    }

    /** Offset and time of a record. */
    private record SeenRecord(long offset, long timestampMillis) {}
}
