package org.magnoliavane.router.store;

import java.util.List;

/**
 * What a node has read of a topic, passed on to nodes that do not read it themselves.
 *
 * @param topic the topic
 * @param from the offset at which the read started; a node that has read less must read the store itself
 * @param to the offset after the last record read
 * @param records the records between the two offsets that do more than renew an entry, oldest first
 * @param ageMillis the time in milliseconds since the topic was read successfully
 * @param era the epoch of the store in which the offsets are valid
 */
public record TopicUpdate(Topic topic, long from, long to, List<KeyedRecord> records, long ageMillis, long era) {}
