package org.magnoliavane.http;

import java.io.IOException;

/**
 * Signals that a request was withdrawn before any byte of it was sent. The remedy is to send it to another server.
 */
public final class WithdrawnException extends IOException {

    WithdrawnException(String message) {
        super(message);
    }
}
