package org.magnoliavane.balance;

import org.magnoliavane.BackendServer;

/**
 * Describes a worker as service discovery lists it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param server the worker
 * @param slots the number of requests that the worker runs concurrently
 * @param startedAtMillis the start time of the worker process, as Unix time in milliseconds; 0 if it is not listed
 */
public record ListedWorker(BackendServer server, int slots, long startedAtMillis) {

    /**
     * Gets the id of the worker.
     *
     * @return the id
     */
    public String id() {
        return server.id();
    }

    /**
     * Returns a copy that is draining.
     *
     * @return the copy
     */
    public ListedWorker withLeaving() {
        BackendServer draining = new BackendServer(
                server.id(), server.service(), server.role(), server.host(), server.port(), server.zone(), true);
        return new ListedWorker(draining, slots, startedAtMillis);
    }

    /**
     * Returns whether another entry describes the same start of the same worker.
     *
     * @param other the other entry
     * @return true if start time, address and service are the same, so that the worker has not restarted in between
     */
    public boolean isSameIncarnation(ListedWorker other) {
        return startedAtMillis == other.startedAtMillis
                && server.host().equals(other.server.host())
                && server.port() == other.server.port()
                && server.service().equals(other.server.service());
    }
}
