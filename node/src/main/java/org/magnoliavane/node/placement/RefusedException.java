package org.magnoliavane.node.placement;

import java.io.IOException;

/**
 * Says that a worker refuses new connections: its process is gone.
 */
final class RefusedException extends IOException {
    private static final long serialVersionUID = 1L;

    RefusedException(String message, Throwable cause) {
        super(message, cause);
    }
}
