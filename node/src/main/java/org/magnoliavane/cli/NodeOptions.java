package org.magnoliavane.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.node.settings.HttpEndpoint;

/** Options of the commands that query nodes, and the client for these queries. */
final class NodeOptions {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 3000;

    @Parameter(
            names = "--node",
            converter = EndpointConverter.class,
            description = "Operators' ports of nodes, as http://<IP address>:<port>[,...]")
    private List<HttpEndpoint> nodes = new ArrayList<>();

    @Parameter(
            names = "--vm-list",
            converter = EndpointConverter.class,
            description = "VM list that names all nodes, as http://<IP address>:<port>")
    private HttpEndpoint vmList;

    /** Returns whether a node or the VM list is named. */
    boolean isGiven() {
        return !nodes.isEmpty() || vmList != null;
    }

    /** Queries all nodes concurrently; a node without a usable response maps to an empty result. */
    Map<String, Optional<JsonNode>> queryNodes(String path) throws CommandException {
        try (HttpClient client = HttpClient.open("operator")) {
            Map<String, HttpEndpoint> targets = findTargets(client);
            Map<String, CompletableFuture<Optional<JsonNode>>> pending = new LinkedHashMap<>();
            targets.forEach((name, target) -> pending.put(name, fetch(client, target, path)));
            Map<String, Optional<JsonNode>> results = new LinkedHashMap<>();
            pending.forEach((name, response) -> results.put(name, response.join()));
            return results;
        } catch (IOException e) {
            throw new CommandException(Report.failure(
                    ExitStatus.FAILED, "the HTTP client failed: " + e, "Check the resource limits of this machine."));
        }
    }

    private Map<String, HttpEndpoint> findTargets(HttpClient client) throws CommandException {
        Map<String, HttpEndpoint> targets = new LinkedHashMap<>();
        nodes.forEach(node -> targets.put(node.toString(), node));
        if (vmList != null) {
            addListedNodes(client, targets);
        }
        if (targets.isEmpty()) {
            throw new CommandException(
                    Report.failure(ExitStatus.USAGE, "no node is named", "Give --node URL[,URL...] or --vm-list URL."));
        }
        return targets;
    }

    private void addListedNodes(HttpClient client, Map<String, HttpEndpoint> targets) throws CommandException {
        JsonNode list = fetch(client, vmList, "/v1/vms")
                .join()
                .orElseThrow(() -> new CommandException(Report.failure(
                        ExitStatus.UNREACHABLE,
                        "the VM list " + vmList + " gives no answer",
                        "Check --vm-list, or name the nodes with --node.")));
        for (JsonNode vm : list.path("vms")) {
            int port = vm.path("tags").path("operator_port").asInt();
            if (vm.path("tags").path("role").asText().equals("entry") && port > 0) {
                targets.put(
                        vm.path("id").asText(),
                        new HttpEndpoint(vm.path("address").asText(), port));
            }
        }
    }

    private static CompletableFuture<Optional<JsonNode>> fetch(HttpClient client, HttpEndpoint target, String path) {
        HttpRequest request =
                HttpRequest.of("GET", target.host(), target.port(), path).withTimeoutMillis(TIMEOUT_MILLIS);
        return client.send(request).thenApply(NodeOptions::parse).exceptionally(cause -> Optional.empty());
    }

    private static Optional<JsonNode> parse(HttpResponse response) {
        // A node without decisions about a request may respond with 404 and a body.
        if (response.status() != 200 && response.status() != 404) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readTree(response.body()));
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }
}
