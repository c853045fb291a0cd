package org.magnoliavane.emulator.load;

import org.magnoliavane.emulator.http.Timers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;

/**
 * Holds the dependencies shared by the requests of a load run.
 *
 * @param options the options
 * @param http the HTTP client
 * @param timers the timers
 * @param addresses the addresses of the nodes
 */
record LoadContext(LoadOptions options, HttpClient http, Timers timers, NodeAddresses addresses) {

    HttpRequest createRequest(String method, NodeAddresses.Address node, String path) {
        HttpRequest request =
                HttpRequest.of(method, node.url().host(), node.url().port(), path);
        String key = options.getKey();
        return key.isEmpty() ? request : request.withHeader("Authorization", "Bearer " + key);
    }
}
