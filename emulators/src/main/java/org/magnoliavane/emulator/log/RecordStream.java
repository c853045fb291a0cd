package org.magnoliavane.emulator.log;

import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Stores the records of a stream, with retention by time.
 *
 * <p>Not thread-safe.
 */
final class RecordStream {
    private final NavigableMap<Long, StoredRecord> records = new TreeMap<>();
    private long nextOffset;

    long append(byte[] data, long nowMillis) {
        long offset = nextOffset++;
        records.put(offset, new StoredRecord(offset, nowMillis, data));
        return offset;
    }

    /** Removes the records that were appended before a time in milliseconds since 1970. */
    void removeBefore(long millis) {
        while (!records.isEmpty() && records.firstEntry().getValue().timestampMillis() < millis) {
            records.pollFirstEntry();
        }
    }

    /** Gets the lowest offset that can be read, which is the next offset when the stream holds no records. */
    long getFirstOffset() {
        return records.isEmpty() ? nextOffset : records.firstKey();
    }

    long getNextOffset() {
        return nextOffset;
    }

    List<StoredRecord> read(long from, int limit) {
        return records.tailMap(from, true).values().stream().limit(limit).toList();
    }
}
