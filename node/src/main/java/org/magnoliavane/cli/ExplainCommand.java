package org.magnoliavane.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Prints the decisions of nodes about a request, or its events from the logs of routers, or where a router would send a request
 * now.
 */
@Parameters(commandDescription = "Print the decisions of all nodes about a request, or where one would be sent now")
final class ExplainCommand extends OperatorCommand {
    private static final String STANDARD_INPUT = "-";
    private static final Pattern REQUEST = Pattern.compile("[0-9a-f]{32}(-[0-9]+)?");

    @Parameter(description = "REQUEST")
    private String request;

    @Parameter(
            names = "--router-log",
            description =
                    "Log of a router to read instead of querying nodes; may be given several times, - is standard input")
    private List<String> logs = new ArrayList<>();

    @ParametersDelegate
    private final ExplainNowOptions nowOptions = new ExplainNowOptions();

    @ParametersDelegate
    private final NodeOptions nodes = new NodeOptions();

    @Override
    String[] getExamples() {
        return new String[] {
            "0123456789abcdef0123456789abcdef --vm-list http://192.0.2.8:7071",
            "4e8d3f2a1b0c9d8e --router-log edge-1.log --router-log edge-2.log",
            "--now --router http://192.0.2.7:9464 --host llm.example --path /v1/chat --prompt-tokens 900"
        };
    }

    @Override
    Report run() throws CommandException {
        if (nowOptions.isNow() == (request != null)) {
            return Report.failure(
                    ExitStatus.USAGE,
                    nowOptions.isNow() ? "--now takes no REQUEST" : "no REQUEST is named",
                    "Give either the id of a request, or --now and what the request would be.");
        }
        if (nowOptions.isNow() && (!logs.isEmpty() || nodes.isGiven())) {
            return Report.failure(
                    ExitStatus.USAGE,
                    "--now takes no --router-log, --node or --vm-list",
                    "Name the router with --router.");
        }
        if (nowOptions.isNow()) {
            return nowOptions.explain();
        }
        if (nowOptions.hasOptionsOfNow()) {
            return Report.failure(
                    ExitStatus.USAGE,
                    "an option is given that needs --now",
                    "Add --now and leave out REQUEST, or leave out the option.");
        }
        if (!logs.isEmpty()) {
            return explainFromLogs();
        }
        if (!REQUEST.matcher(request).matches()) {
            return Report.failure(
                    ExitStatus.USAGE,
                    "\"" + request + "\" is not a request id",
                    "Give the 32 hexadecimal digits from the answer or the log line.");
        }
        String id = request.substring(0, 32);
        Map<String, Optional<JsonNode>> responses = nodes.queryNodes("/operator/explain/" + id);
        if (responses.values().stream().noneMatch(Optional::isPresent)) {
            return Report.failure(
                    ExitStatus.UNREACHABLE, "no node answered", "Check --node or --vm-list, then try again.");
        }
        List<ObjectNode> decisions = mergeDecisions(responses);
        List<String> unanswered = responses.entrySet().stream()
                .filter(e -> e.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .toList();
        int status = decisions.isEmpty() ? ExitStatus.FAILED : ExitStatus.OK;
        return Report.of(status, toText(decisions, unanswered))
                .without("message")
                .with("request", id)
                .with("decisions", decisions)
                .with("nodes_without_answer", unanswered);
    }

    private Report explainFromLogs() {
        RequestTimeline timeline = new RequestTimeline(request);
        for (String log : logs) {
            try (BufferedReader reader = log.equals(STANDARD_INPUT)
                    ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                    : Files.newBufferedReader(Path.of(log))) {
                timeline.addLog(log, reader);
            } catch (IOException e) {
                return Report.failure(
                        ExitStatus.FAILED, "cannot read the log " + log + ": " + e, "Check its name and its encoding.");
            }
        }
        return Report.of(timeline.isEmpty() ? ExitStatus.FAILED : ExitStatus.OK, timeline.toText())
                .without("message")
                .with("request", request)
                .with("events", timeline.toJson());
    }

    private static List<ObjectNode> mergeDecisions(Map<String, Optional<JsonNode>> responses) {
        List<ObjectNode> decisions = new ArrayList<>();
        responses.forEach((name, response) -> response.ifPresent(json -> {
            JsonNode list = json.isArray() ? json : json.path("decisions");
            for (JsonNode decision : list) {
                if (decision instanceof ObjectNode object) {
                    decisions.add(object.deepCopy().put("node", name));
                }
            }
        }));
        decisions.sort(Comparator.comparingLong(d -> d.path("at_millis").asLong()));
        return decisions;
    }

    private static String toText(List<ObjectNode> decisions, List<String> unanswered) {
        TextTable table = new TextTable("time", "node", "stage", "considered", "chosen", "reason");
        for (ObjectNode decision : decisions) {
            table.addRow(
                    Instant.ofEpochMilli(decision.path("at_millis").asLong()),
                    decision.path("node").asText(),
                    decision.path("stage").asText(),
                    decision.path("considered").asText(),
                    decision.path("chosen").asText(),
                    decision.path("reason").asText());
        }
        String result = decisions.isEmpty()
                ? "no node has a decision about this request"
                : table.toString().strip();
        return unanswered.isEmpty() ? result : result + "\nnodes without an answer: " + String.join(", ", unanswered);
    }
}
