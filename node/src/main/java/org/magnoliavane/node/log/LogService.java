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
     * @return the offset; fails with {@link LogUnavailableException}, which says whether the record may have been
     *     appended all the same
     */
    CompletionStage<Long> append(String stream, byte[] data);

    /**
     * Reads records.
     *
     * @param stream the name of the stream
     * @param from the offset of the first record wanted; a removed offset is raised to the oldest one kept
     * @param limit the largest number of records
     * @param waitMillis the time to wait for a record when there is none, 0 for none
     * @return the records; fails with {@link LogUnavailableException}
     */
    CompletionStage<LogPage> read(String stream, long from, int limit, long waitMillis);
}
