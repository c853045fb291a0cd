package org.magnoliavane.router.store;

import java.util.List;

/**
 * Records of a topic.
 *
 * @param records the records, oldest first
 * @param nextOffset the offset at which to read on
 */
public record RecordBatch(List<KeyedRecord> records, long nextOffset) {}
