package org.magnoliavane.router.store;

/**
 * A topic of a store and the times at which it is read.
 *
 * @param store the store
 * @param topic the topic
 * @param schedule the times of the reads
 */
public record TopicSource(KeyedStore store, Topic topic, ReadSchedule schedule) {}
