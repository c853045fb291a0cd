package org.magnoliavane.protocol;

import java.io.IOException;

/**
 * Thrown when a connection ends before it has opened or before the reply to a request is received. The peer may have
 * handled the request.
 */
public final class PeerClosedException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the detail message
     */
    public PeerClosedException(String message) {
        super(message);
    }
}
