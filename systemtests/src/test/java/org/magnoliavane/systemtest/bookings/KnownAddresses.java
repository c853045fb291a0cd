package org.magnoliavane.systemtest.bookings;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.LocalDeployment;

/**
 * Keeps the last responses of {@code /v1/addresses}, as callers do. Older responses contain run tokens of runs that
 * have ended.
 *
 * <p>Thread-safe.
 */
final class KnownAddresses {
    private static final int MAX_KEPT_RESPONSES = 10;
    private static final long TIMEOUT_MILLIS = 500;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LocalDeployment deployment;
    private final List<String> nodes;
    private final Deque<List<Address>> responses = new ArrayDeque<>();

    KnownAddresses(LocalDeployment deployment) {
        this.deployment = deployment;
        nodes = deployment.getNodes();
    }

    /** Queries a random node. Keeps the older responses when it does not respond. */
    void refresh(Random random) {
        Endpoint node = deployment.getEndpoint(nodes.get(random.nextInt(nodes.size())));
        try {
            HttpResponse response =
                    node.send(node.createRequest("GET", "/v1/addresses").withTimeoutMillis(TIMEOUT_MILLIS));
            if (response.status() == 200) {
                addResponse(MAPPER.readTree(response.body()).path("addresses"));
            }
        } catch (IOException e) {
            // The node is down or paused.
        }
    }

    /** Draws the node and run token of a new key, in one of four cases from any kept response. */
    synchronized Address chooseAddress(Random random) {
        int skipped = random.nextInt(4) == 0 ? random.nextInt(responses.size()) : 0;
        List<Address> response = responses.stream().skip(skipped).findFirst().orElseGet(responses::peekFirst);
        return response.get(random.nextInt(response.size()));
    }

    /** Draws a node for a duplicate request. It may be down. */
    String chooseNode(Random random) {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private synchronized void addResponse(JsonNode list) {
        List<Address> response = new ArrayList<>();
        list.forEach(a -> {
            if (a.hasNonNull("run_token")) {
                response.add(
                        new Address(a.get("node").asText(), a.get("run_token").asText()));
            }
        });
        if (response.isEmpty()) {
            return;
        }
        responses.addFirst(response);
        if (responses.size() > MAX_KEPT_RESPONSES) {
            responses.removeLast();
        }
    }

    /** Holds the id of a node and a run token that it listed. */
    record Address(String node, String runToken) {}
}
