package org.magnoliavane.router.store;

import java.util.Set;

/** Takes what a {@link TopicFollower} reads. Calls are made one at a time. */
public interface TopicListener {

    /**
     * Takes a change. Changes of one key come in the order of their offsets; older ones are left out.
     *
     * @param change the change
     */
    void onChange(KeyedRecord change);

    /**
     * Takes the end of a snapshot. Keys that are not named no longer exist.
     *
     * @param keys the keys of the snapshot
     */
    void onSnapshot(Set<String> keys);

    /** Called with the first answer after the store did not answer, before its records. */
    void onOutageEnd();
}
