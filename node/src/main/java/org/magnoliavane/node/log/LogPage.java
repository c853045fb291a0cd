package org.magnoliavane.node.log;

import java.util.List;

/**
 * Holds a part of a stream.
 *
 * <p>Immutable and thread-safe.
 *
 * @param firstOffset the offset of the oldest record that the log service still has
 * @param nextOffset the offset that the next record will get
 * @param records the records, in offset order; empty when there are none yet
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {}
