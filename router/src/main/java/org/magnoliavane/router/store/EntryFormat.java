package org.magnoliavane.router.store;

import java.io.IOException;
import java.util.Optional;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.routing.RoutingTable;

/**
 * Reads the entries of the store. Entries of other writers may be damaged or say things that are not known here.
 *
 * <p>Implementations are thread-safe.
 */
public interface EntryFormat {

    /**
     * Reads a configuration.
     *
     * @param entry the entry
     * @return the configuration; empty when the entry is something else
     * @throws IOException when the entry cannot be read
     */
    Optional<RoutingTable> readConfiguration(KeyedRecord entry) throws IOException;

    /**
     * Reads a worker.
     *
     * @param entry the entry
     * @return the worker
     * @throws IOException when the entry names no worker that can be used
     */
    ListedWorker readWorker(KeyedRecord entry) throws IOException;

    /**
     * Reads a node.
     *
     * @param entry the entry
     * @return the node; empty when the entry is something else
     * @throws IOException when the entry cannot be read
     */
    Optional<NodeListing> readNode(KeyedRecord entry) throws IOException;
}
