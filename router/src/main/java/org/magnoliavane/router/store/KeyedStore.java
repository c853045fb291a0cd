package org.magnoliavane.router.store;

import java.util.concurrent.CompletionStage;

/**
 * A store of keyed records. The store may come back from a copy that is some seconds old. It then has a higher epoch
 * (era), what was written since the copy is lost, and offsets are assigned again. The returned stages fail with an {@link java.io.IOException} when the store does not answer
 * or answers with an error.
 *
 * <p>Implementations are thread-safe.
 */
public interface KeyedStore {

    /**
     * Reads the newest record of each key.
     *
     * @param topic the topic
     * @return the records and the offset from which to read changes
     */
    CompletionStage<RecordBatch> readSnapshot(Topic topic);

    /**
     * Reads changes in the order of their offsets.
     *
     * @param topic the topic
     * @param from the offset of the first record to return
     * @param waitMillis the maximum time in milliseconds to wait for a record if there is none
     * @param responseMillis the time in milliseconds beyond the wait after which the read fails without a response
     * @return the records, none if the wait ended without one; fails with {@link HistoryLostException} if they were
     *     deleted
     */
    CompletionStage<RecordBatch> readChanges(Topic topic, long from, long waitMillis, long responseMillis);

    /**
     * Lists a node or replaces its listing.
     *
     * @param node the listing
     * @return the epoch of the store that has confirmed the change
     */
    CompletionStage<Long> listNode(NodeListing node);

    /**
     * Removes the listing of a node.
     *
     * @param name the name of the node
     * @return the epoch of the store that has confirmed the change
     */
    CompletionStage<Long> removeNode(String name);

    /**
     * Appends a claim to the order lease to its log, if no other claim was appended since.
     *
     * @param holder the name of the node that claims the lease
     * @param expectedEnd the end that the log must have for the claim to be accepted
     * @return whether the claim was appended, and the end of the log
     */
    CompletionStage<OrderClaimResult> appendOrderClaim(String holder, long expectedEnd);
}
