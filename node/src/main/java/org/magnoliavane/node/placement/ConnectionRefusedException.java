package org.magnoliavane.node.placement;

import java.io.IOException;

/**
 * Signals that a worker refuses connections, which means that its process has ended.
 */
final class ConnectionRefusedException extends IOException {
    private static final long serialVersionUID = 1L;

    ConnectionRefusedException(String message, Throwable cause) {
        super(message, cause);
    }
}
