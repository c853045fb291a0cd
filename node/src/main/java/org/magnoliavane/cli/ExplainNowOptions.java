package org.magnoliavane.cli;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.json.Json;
import org.magnoliavane.node.settings.HttpEndpoint;

/** Options of {@code explain --now}, and the query of a router that they describe. */
final class ExplainNowOptions {
    private static final long TIMEOUT_MILLIS = 3000;

    @Parameter(names = "--now", description = "Explain where a router would send a request now, without sending it")
    private boolean now;

    @Parameter(
            names = "--router",
            converter = EndpointConverter.class,
            description = "With --now: the metrics port of the router, as http://<IP address>:<port>")
    private HttpEndpoint router;

    @Parameter(names = "--host", description = "With --now: the host of the request")
    private String host;

    @Parameter(names = "--path", description = "With --now: the path of the request")
    private String path;

    @Parameter(names = "--organisation", description = "With --now: the name of the caller's organisation, not its key")
    private String organisation;

    @Parameter(names = "--prompt-tokens", description = "With --now: the tokens of the prompt (0: no generation)")
    private String promptTokens;

    @Parameter(names = "--output-tokens", description = "With --now: the tokens of the output (0: no generation)")
    private String outputTokens;

    @Parameter(
            names = "--deadline-millis",
            description = "With --now: how long the caller waits (default: the timeout of the route)")
    private String deadlineMillis;

    boolean isNow() {
        return now;
    }

    /** Returns whether an option is given that has a meaning only with {@code --now}. */
    boolean hasOptionsOfNow() {
        return router != null || !getFields().isEmpty();
    }

    private Map<String, String> getFields() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("host", host);
        fields.put("path", path);
        fields.put("organisation", organisation);
        fields.put("prompt_tokens", promptTokens);
        fields.put("output_tokens", outputTokens);
        fields.put("deadline_millis", deadlineMillis);
        fields.values().removeIf(v -> v == null);
        return fields;
    }

    /** Asks the router. */
    Report explain() {
        if (router == null || host == null || path == null) {
            return Report.failure(
                    ExitStatus.USAGE,
                    "--now needs --router, --host and --path",
                    "Give the metrics port of a router, and the host and path of the request.");
        }
        String query = getFields().entrySet().stream()
                .map(e -> e.getKey() + '=' + URLEncoder.encode(e.getValue(), StandardCharsets.UTF_8))
                .collect(Collectors.joining("&"));
        HttpRequest request = HttpRequest.of("GET", router.host(), router.port(), "/explain?" + query)
                .withTimeoutMillis(TIMEOUT_MILLIS);
        try (HttpClient client = HttpClient.open("operator")) {
            return toReport(client.send(request).join());
        } catch (CompletionException e) {
            return Report.failure(
                    ExitStatus.UNREACHABLE,
                    "the router " + router + " gives no answer: " + e.getCause().getMessage(),
                    "Check --router, which is the metrics port of a router.");
        } catch (IOException e) {
            return Report.failure(
                    ExitStatus.FAILED, "the HTTP client failed: " + e, "Check the resource limits of this machine.");
        }
    }

    private Report toReport(HttpResponse response) {
        Optional<ObjectNode> body =
                Json.tryRead(response.getText()).filter(JsonNode::isObject).map(b -> (ObjectNode) b);
        if (response.status() == 200 && body.isPresent()) {
            return new Report(ExitStatus.OK, ExplanationText.format(body.get()), body.get());
        }
        String message = body.map(b -> b.path("error").asText())
                .filter(m -> !m.isEmpty())
                .orElse("the router " + router + " answered with status " + response.status());
        return response.status() == 400
                ? Report.failure(ExitStatus.USAGE, message, "Correct the option.")
                : Report.failure(ExitStatus.FAILED, message, "Check --router and the state of the router.");
    }
}
