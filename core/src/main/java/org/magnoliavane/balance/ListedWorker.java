package org.magnoliavane.balance;

import org.magnoliavane.BackendServer;

/**
 * A worker as the service discovery lists it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param server the worker
 * @param slots the number of requests that it runs at once
 * @param startedAtMillis the Unix time of its start in milliseconds; 0 when the listing does not tell
 */
public record ListedWorker(BackendServer server, int slots, long startedAtMillis) {

    /**
     * Gets the id.
     *
     * @return the id of the worker
     */
    public String id() {
        return server.id();
    }

    /**
     * Says whether another listing is of the same start of the same worker.
     *
     * @param other the other listing
     * @return true when nothing suggests a restart in between
     */
    public boolean isSameIncarnation(ListedWorker other) {
        return startedAtMillis == other.startedAtMillis
                && server.host().equals(other.server.host())
                && server.port() == other.server.port()
                && server.service().equals(other.server.service());
    }
}
