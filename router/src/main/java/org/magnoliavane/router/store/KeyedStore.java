package org.magnoliavane.router.store;

import java.util.concurrent.CompletionStage;

/**
 * A store of keyed records. Calls fail with an {@link java.io.IOException} when the store does not answer as it should.
 *
 * <p>Implementations are thread-safe.
 */
public interface KeyedStore {

    /**
     * Reads the newest record of each key.
     *
     * @param topic the topic
     * @return the records, and the offset at which to read on
     */
    CompletionStage<RecordBatch> readSnapshot(Topic topic);

    /**
     * Reads changes.
     *
     * @param topic the topic
     * @param from the offset of the first record to return
     * @param waitMillis how long to wait for a record when there is none
     * @return the records, none after the wait; fails with {@link HistoryLostException} when they were deleted
     */
    CompletionStage<RecordBatch> readChanges(Topic topic, long from, long waitMillis);

    /**
     * Lists a node.
     *
     * @param node the entry
     * @return completes when the store has confirmed it
     */
    CompletionStage<Void> listNode(NodeListing node);

    /**
     * Removes a node from the list.
     *
     * @param name the name of the node
     * @return completes when the store has confirmed it
     */
    CompletionStage<Void> removeNode(String name);

    /**
     * Writes into the log of those who give orders, if nobody has written since.
     *
     * @param holder the name of this node
     * @param expectedEnd the end that the log must have
     * @return whether the record was written, and the end of the log
     */
    CompletionStage<OrderClaimResult> appendOrderClaim(String holder, long expectedEnd);
}
