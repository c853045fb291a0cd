package org.magnoliavane.protocol;

import java.io.IOException;

/**
 * Says that a connection ended before the reply came. The peer may have handled the request.
 */
public final class PeerClosedException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what happened
     */
    public PeerClosedException(String message) {
        super(message);
    }
}
