package org.magnoliavane.node.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/**
 * Decides when this node appends a snapshot of the configuration to the stream. A new node can start from the log service
 * as long as the stream still has its first record, or a snapshot and every record after the offset that the snapshot
 * covers. A snapshot is due when the oldest record that a new node needs has reached a third of the retention time. Each
 * node adds a random delay, and a snapshot of another node postpones its own, so that usually only one node appends.
 *
 * <p>Not thread-safe. Times named {@code now} come from a monotonic clock, times named {@code wall} from the system clock,
 * and timestamps from the log service; all are in milliseconds.
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
        // The age of the oldest needed record is not known before the stream is read. The first snapshot is scheduled
        // now, because nodes that are replaced often would otherwise never append one.
        dueMillis = nowMillis + drawDelayMillis(retentionMillis / 3);
    }

    /** Adds a record that was read from the stream. */
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

    /** Adds a snapshot from which a new node can start. The record of the snapshot must have been added before. */
    void addSnapshot(long asOf, long nowMillis, long wallMillis) {
        while (!seenRecords.isEmpty() && seenRecords.getFirst().offset <= asOf) {
            seenRecords.removeFirst();
        }
        if (asOf >= lastDroppedOffset && !seenRecords.isEmpty()) {
            reschedule(seenRecords.getFirst().timestampMillis, nowMillis, wallMillis);
        }
    }

    /** Adds an attempt of this node to append. Bounds the rate of attempts even if the clocks of node and log differ. */
    void addAppendAttempt(long nowMillis) {
        earliestAttemptMillis = nowMillis + retentionMillis / 12;
        dueMillis = Math.max(dueMillis, earliestAttemptMillis + drawDelayMillis(retentionMillis / 12));
    }

    boolean isDue(long nowMillis) {
        return nowMillis >= dueMillis && nowMillis >= earliestAttemptMillis;
    }

    private void reschedule(long neededTimestampMillis, long nowMillis, long wallMillis) {
        long ageMillis = Math.max(0, wallMillis - neededTimestampMillis);
        long remainingMillis = Math.max(0, retentionMillis / 3 - ageMillis);
        // Past half of the retention time, the random delay is short so that the snapshot is appended in time.
        long maxDelayMillis = ageMillis > retentionMillis / 2 ? retentionMillis / 60 : retentionMillis / 6;
        dueMillis = nowMillis + remainingMillis + drawDelayMillis(maxDelayMillis);
    }

    private long drawDelayMillis(long boundMillis) {
        return random.nextLong(boundMillis + 1);
    }

    /** Holds the offset and the timestamp of a record. */
    private record SeenRecord(long offset, long timestampMillis) {}
}
