package org.magnoliavane.node.log;

import java.util.concurrent.CompletionStage;

/**
 * Appends to and reads from the streams of the log service.
 *
 * <p>Implementations are thread-safe.
 */
public interface LogService {

    /**
     * Appends a record.
     *
     * @param stream the name of the stream
     * @param data the record
     * @return the offset of the record; fails with {@link LogUnavailableException}, which tells whether the record may have
     *     been appended nevertheless
     */
    CompletionStage<Long> append(String stream, byte[] data);

    /**
     * Reads records, and waits for the next one when there are none.
     *
     * @param stream the name of the stream
     * @param from the offset of the first record to read; when it has been removed, the oldest kept record is used
     * @param limit the maximum number of records
     * @param waitMillis the maximum time to wait for a record, in milliseconds; 0 does not wait
     * @return the records; fails with {@link LogUnavailableException}
     */
    CompletionStage<LogPage> read(String stream, long from, int limit, long waitMillis);
}
