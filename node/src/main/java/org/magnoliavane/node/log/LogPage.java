package org.magnoliavane.node.log;

import java.util.List;

/**
 * Holds consecutive records of a stream.
 *
 * <p>Immutable and thread-safe.
 *
 * @param firstOffset the offset of the oldest record that retention has not removed
 * @param nextOffset the offset that the next record will get
 * @param records the records in ascending order of offsets; empty when the stream has none from the requested offset on
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {}
