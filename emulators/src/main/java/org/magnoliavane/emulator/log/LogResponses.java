package org.magnoliavane.emulator.log;

import java.util.List;

import org.magnoliavane.emulator.http.ErrorResponse;

/**
 * Bodies of the answers of the log service.
 */
final class LogResponses {
    private LogResponses() {}

    /** Answer to an append. */
    record Appended(long offset) {}

    /** Answer to a read; the next offset is the one that the next record will get. */
    record Page(long firstOffset, long nextOffset, List<Entry> records) {}

    /** One record of a page; the data is written in Base64. */
    record Entry(long offset, long timestampMillis, byte[] data) {
        static Entry of(StoredRecord stored) {
            return new Entry(stored.offset(), stored.timestampMillis(), stored.data());
        }
    }

    /** Answer to a read from an offset that retention has removed. */
    record OffsetRemoved(ErrorResponse.Detail error, long firstOffset) {}

    /** Answer to a control call. */
    record Done(boolean done) {}

    /** Counters for tests and measurements. */
    record Counters(long appends, long refusedByRate, long lostAnswers, long reads) {}
}
