package org.magnoliavane.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/** Merges the backend servers that nodes report; the views of nodes may differ for some seconds. */
final class WorkerTable {
    private final Map<String, List<JsonNode>> reports = new TreeMap<>();
    private int nodeCount;

    /** Adds the list of servers that one node reports. */
    void add(JsonNode servers) {
        nodeCount++;
        servers.forEach(server -> reports.computeIfAbsent(server.path("id").asText(), id -> new ArrayList<>())
                .add(server));
    }

    @Override
    public String toString() {
        TextTable table = new TextTable("worker", "service", "role", "zone", "leaving", "known by");
        reports.forEach((id, list) -> {
            JsonNode first = list.get(0);
            table.addRow(
                    id,
                    first.path("service").asText(),
                    first.path("role").asText(),
                    first.path("zone").asText(),
                    list.stream().anyMatch(server -> server.path("leaving").asBoolean()),
                    list.size() + " of " + nodeCount);
        });
        return table.toString();
    }
}
