package org.magnoliavane.node.log;

/**
 * Holds one record of a stream.
 *
 * <p>Immutable and thread-safe as long as the data is not modified.
 *
 * @param offset the offset in its stream
 * @param timestampMillis the time of the append by the clock of the log service, in milliseconds since 1970
 * @param data the appended bytes, which are not copied
 */
public record LogRecord(long offset, long timestampMillis, byte[] data) {}
