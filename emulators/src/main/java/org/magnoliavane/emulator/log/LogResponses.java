package org.magnoliavane.emulator.log;

import java.util.List;

import org.magnoliavane.emulator.http.ErrorResponse;

/**
 * Bodies of the responses of the log service.
 */
final class LogResponses {
    private LogResponses() {}

    /** Response to an append. */
    record Appended(long offset) {}

    /** Response to a read. The next offset is the one that the next appended record receives. */
    record Page(long firstOffset, long nextOffset, List<Entry> records) {}

    /** Record of a page; the data is written in Base64. */
    record Entry(long offset, long timestampMillis, byte[] data) {
        static Entry of(StoredRecord stored) {
            return new Entry(stored.offset(), stored.timestampMillis(), stored.data());
        }
    }

    /** Response to a read from an offset whose record was removed by retention. */
    record OffsetRemoved(ErrorResponse.Detail error, long firstOffset) {}

    /** Response to {@code POST /control}. */
    record Done(boolean done) {}

    /** Response to {@code GET /control/counters}. */
    record Counters(long appends, long refusedByRate, long lostAnswers, long reads) {}
}
