package org.magnoliavane.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;

/** Prints the status of the nodes and of the workers that they know. */
@Parameters(
        commandDescription =
                "Print the nodes with the version in force and the active requests, and the workers that they know")
final class StatusCommand extends OperatorCommand {
    private static final String PATH = "/operator/status";

    @ParametersDelegate
    private final NodeOptions nodes = new NodeOptions();

    @Override
    String[] getExamples() {
        return new String[] {"--vm-list http://192.0.2.8:7071", "--node http://192.0.2.1:8082,http://192.0.2.2:8082"};
    }

    @Override
    Report run() throws CommandException {
        Map<String, Optional<JsonNode>> responses = nodes.queryNodes(PATH);
        TextTable table = new TextTable("node", "zone", "version", "leaving", "active requests");
        WorkerTable workers = new WorkerTable();
        Set<Long> versions = new TreeSet<>();
        int responded = 0;
        for (Map.Entry<String, Optional<JsonNode>> response : responses.entrySet()) {
            JsonNode status = response.getValue().orElse(null);
            if (status == null) {
                table.addRow(response.getKey(), "no answer", "", "", "");
                continue;
            }
            responded++;
            versions.add(status.path("configuration_version").asLong());
            table.addRow(
                    status.path("node").asText(response.getKey()),
                    status.path("zone").asText(),
                    status.path("configuration_version").asText(),
                    status.path("leaving").asText(),
                    status.path("active_requests").asText());
            workers.add(status.path("backend_servers"));
        }
        String text = table + "\n" + workers + "\n" + summarise(responded, responses.size(), versions);
        return Report.of(toExitStatus(responded, responses.size()), text)
                .without("message")
                .with("nodes", toJson(responses))
                .with("versions", versions);
    }

    private static int toExitStatus(int responded, int queried) {
        if (responded == 0) {
            return ExitStatus.UNREACHABLE;
        }
        return responded == queried ? ExitStatus.OK : ExitStatus.FAILED;
    }

    private static String summarise(int responded, int queried, Set<Long> versions) {
        return responded + " of " + queried + " nodes answered; versions in force: " + versions;
    }

    private static Map<String, Object> toJson(Map<String, Optional<JsonNode>> responses) {
        Map<String, Object> json = new LinkedHashMap<>();
        responses.forEach((name, response) -> json.put(name, response.orElse(null)));
        return json;
    }
}
