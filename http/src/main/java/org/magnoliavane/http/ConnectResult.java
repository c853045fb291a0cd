package org.magnoliavane.http;

/**
 * Tells how a server responded to the attempt to connect.
 */
public enum ConnectResult {
    /** The server accepted the connection. */
    ACCEPTED,
    /** The server accepted the connection and closed it. */
    CLOSED,
    /** No process listens on the port. */
    REFUSED,
    /** The server did not respond in time, or could not be reached. */
    NO_RESPONSE
}
