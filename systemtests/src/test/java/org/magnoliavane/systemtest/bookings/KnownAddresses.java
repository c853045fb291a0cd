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
 * Keeps the last answers of {@code /v1/addresses}, as callers do. Older answers have run tokens of runs that have ended.
 *
 * <p>Thread-safe.
 */
final class KnownAddresses {
    private static final int KEPT_ANSWERS = 10;
    private static final long TIMEOUT_MILLIS = 500;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LocalDeployment deployment;
    private final List<String> nodes;
    private final Deque<List<Address>> answers = new ArrayDeque<>();

    KnownAddresses(LocalDeployment deployment) {
        this.deployment = deployment;
        nodes = deployment.getNodes();
    }

    /** Asks a node; keeps the older answers when it does not answer. */
    void refresh(Random random) {
        Endpoint node = deployment.getEndpoint(nodes.get(random.nextInt(nodes.size())));
        try {
            HttpResponse response =
                    node.send(node.request("GET", "/v1/addresses").withTimeoutMillis(TIMEOUT_MILLIS));
            if (response.status() == 200) {
                keep(MAPPER.readTree(response.body()).path("addresses"));
            }
        } catch (IOException e) {
            // The node is down or paused.
        }
    }

    /** Draws the node and token for a new key, now and then from an older answer. */
    synchronized Address choose(Random random) {
        int skipped = random.nextInt(4) == 0 ? random.nextInt(answers.size()) : 0;
        List<Address> answer = answers.stream().skip(skipped).findFirst().orElseGet(answers::peekFirst);
        return answer.get(random.nextInt(answer.size()));
    }

    /** Draws a node for a copy of a call; it need not be alive. */
    String chooseNode(Random random) {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private synchronized void keep(JsonNode list) {
        List<Address> answer = new ArrayList<>();
        list.forEach(a -> {
            if (a.hasNonNull("run_token")) {
                answer.add(
                        new Address(a.get("node").asText(), a.get("run_token").asText()));
            }
        });
        if (answer.isEmpty()) {
            return;
        }
        answers.addFirst(answer);
        if (answers.size() > KEPT_ANSWERS) {
            answers.removeLast();
        }
    }

    /** A node with a run token. */
    record Address(String node, String runToken) {}
}
