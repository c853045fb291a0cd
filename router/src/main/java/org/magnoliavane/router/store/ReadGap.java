package org.magnoliavane.router.store;

/**
 * How long a node knew nothing new of a topic before it read it, or another node passed on what it had read.
 *
 * @param millis the time in milliseconds since the content was last known to be current; 0 at the first read
 * @param source where the records come from
 */
public record ReadGap(long millis, Source source) {

    /** Where a node learns the records of a topic. */
    public enum Source {
        /** The node has read the store. */
        STORE,
        /** Another node has passed on what it has read. */
        PEER
    }
}
