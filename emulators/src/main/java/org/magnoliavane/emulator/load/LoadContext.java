package org.magnoliavane.emulator.load;

import org.magnoliavane.emulator.http.Timers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;

/**
 * Holds what the calls of a run share.
 *
 * @param options the options
 * @param http the client
 * @param timers the timers
 * @param addresses the nodes
 */
record LoadContext(LoadOptions options, HttpClient http, Timers timers, NodeAddresses addresses) {

    HttpRequest createRequest(String method, NodeAddresses.Address node, String path) {
        HttpRequest request =
                HttpRequest.of(method, node.url().host(), node.url().port(), path);
        String key = options.getKey();
        return key.isEmpty() ? request : request.withHeader("Authorization", "Bearer " + key);
    }
}
