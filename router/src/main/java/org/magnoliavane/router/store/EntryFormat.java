package org.magnoliavane.router.store;

import java.io.IOException;
import java.util.Optional;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.routing.RoutingTable;

/**
 * Parses the entries of the store. Entries of other writers may be damaged or contain unknown fields and values.
 *
 * <p>Implementations are thread-safe.
 */
public interface EntryFormat {

    /**
     * Parses a configuration.
     *
     * @param entry the entry
     * @return the configuration; empty if the entry has another key
     * @throws IOException if the entry is malformed
     */
    Optional<RoutingTable> readConfiguration(KeyedRecord entry) throws IOException;

    /**
     * Parses the listing of a worker.
     *
     * @param entry the entry
     * @return the worker
     * @throws IOException if the entry is malformed or has unknown values
     */
    ListedWorker readWorker(KeyedRecord entry) throws IOException;

    /**
     * Parses the listing of a node.
     *
     * @param entry the entry
     * @return the node; empty if the entry is not a listing
     * @throws IOException if the entry is malformed
     */
    Optional<NodeListing> readNode(KeyedRecord entry) throws IOException;
}
