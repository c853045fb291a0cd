package org.magnoliavane.emulator.http;

import java.io.IOException;

/**
 * Handles the calls of one route. It may answer later, from another thread.
 */
@FunctionalInterface
public interface ExchangeHandler {

    /**
     * Handles a call.
     *
     * @param call the call
     * @throws IOException when the body is malformed
     */
    void handle(ServerExchange call) throws IOException;
}
