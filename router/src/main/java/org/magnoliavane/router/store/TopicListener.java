package org.magnoliavane.router.store;

import java.util.Set;

/** Receives what a {@link TopicFollower} reads. The follower makes one call at a time. */
public interface TopicListener {

    /**
     * Handles the start of a read or an update. Called before its records.
     *
     * @param gap how long nothing new was known
     */
    void onRead(ReadGap gap);

    /**
     * Handles a change. The changes of one key arrive in the order of their offsets; a change older than one already
     * delivered is skipped.
     *
     * @param change the change
     * @return false if the change only renews an entry, so that other nodes need not learn of it
     */
    boolean onChange(KeyedRecord change);

    /**
     * Handles the end of a snapshot. Keys that are not in it no longer exist.
     *
     * @param keys the keys of the snapshot
     */
    void onSnapshot(Set<String> keys);

    /**
     * Handles the start of the first snapshot after a rollback of the store, or of a node that starts after one. Its entries follow in {@link #onRestored}; the
     * changes after them have been written since the rollback.
     *
     * @param keys the keys of the snapshot
     */
    void onRollback(Set<String> keys);

    /**
     * Handles an entry of the first snapshot after a rollback. It may be older than what is known of its key.
     *
     * @param entry the entry
     */
    void onRestored(KeyedRecord entry);

    /**
     * Returns whether the listener waits for changes that other nodes may not pass on, such as the renewal of an entry that
     * contradicts what was known before a rollback.
     *
     * @return true if the follower must read the store itself
     */
    boolean needsOwnReads();
}
