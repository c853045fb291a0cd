package org.magnoliavane.emulator.http;

import java.io.IOException;

/**
 * Handles the requests of a route. An implementation may send the response later and from another thread.
 */
@FunctionalInterface
public interface ExchangeHandler {

    /**
     * Handles a request.
     *
     * @param exchange the request and its response
     * @throws IOException when the body is malformed
     */
    void handle(ServerExchange exchange) throws IOException;
}
