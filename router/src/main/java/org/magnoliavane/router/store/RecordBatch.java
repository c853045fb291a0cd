package org.magnoliavane.router.store;

import java.util.List;

/**
 * Consecutive records of a topic.
 *
 * @param records the records, oldest first
 * @param nextOffset the offset of the next read
 * @param era the epoch of the store in which the offsets are valid
 */
public record RecordBatch(List<KeyedRecord> records, long nextOffset, long era) {}
