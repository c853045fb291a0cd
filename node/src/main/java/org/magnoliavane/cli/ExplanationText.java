package org.magnoliavane.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats the explanation of a router for people. */
final class ExplanationText {
    private static final double MILLIS_PER_SECOND = 1000;

    private ExplanationText() {}

    static String format(JsonNode json) {
        // Control characters in names must not reach the terminal.
        return formatAll(json).replaceAll("[\\p{Cntrl}&&[^\n]]", " ");
    }

    private static String formatAll(JsonNode json) {
        StringBuilder text = new StringBuilder();
        JsonNode list = json.path("worker_list");
        text.append(String.format(
                "node %s, configuration %s (%s old), workers %s old%s\n",
                json.path("node").asText(),
                json.path("configuration").path("version").asText(),
                formatMillis(json.path("configuration").path("age_millis")),
                formatMillis(list.path("age_millis")),
                list.path("old").asBoolean() ? ": THE LIST OF WORKERS IS OLD" : ""));
        JsonNode route = json.path("route");
        if (!route.isObject()) {
            return text.append("no route matches\n").append(formatOutcome(json)).toString();
        }
        text.append(String.format(
                "route %s (%s%s), %s, timeout %s\n",
                route.path("name").asText(),
                route.path("host").asText(),
                route.path("path_prefix").asText(),
                route.path("kind").asText(),
                formatMillis(route.path("timeout_millis"))));
        text.append(formatOrganisation(json.path("organisation"))).append(formatOutcome(json));
        json.path("services").forEach(s -> text.append(formatService(s)));
        return text.toString();
    }

    private static String formatOrganisation(JsonNode organisation) {
        String name = organisation.path("name").isNull()
                ? "no organisation"
                : "organisation " + organisation.path("name").asText()
                        + (organisation.path("known").asBoolean() ? "" : " (not known)");
        JsonNode cap = organisation.path("cap");
        return String.format(
                "%s, urgency %s of %s, %s\n",
                name,
                organisation.path("urgency").asText(),
                organisation.path("urgencies").asText(),
                cap.isObject()
                        ? "cap " + cap.path("per_second").asText() + ' '
                                + cap.path("unit").asText() + " per second, burst "
                                + cap.path("burst").asText() + " (not checked)"
                        : "no cap");
    }

    private static String formatService(JsonNode service) {
        JsonNode waiting = service.path("waiting");
        StringBuilder text = new StringBuilder(String.format(
                "\nservice %s, %s, %s of the route; waiting %s here, %s at all nodes, expected wait %s\n",
                service.path("service").asText(),
                service.path("kind").asText(),
                formatShare(service.path("share")),
                waiting.path("here").asText(),
                waiting.path("at_all_nodes").asText(),
                formatMillis(waiting.path("expected_wait_millis"))));
        text.append(formatOutcome(service));
        TextTable table = new TextTable(
                "role",
                "worker",
                "chosen",
                "reason",
                "cost",
                "own",
                "reported",
                "report age",
                "speed",
                "failures",
                "zone",
                "owner");
        for (JsonNode role : service.path("roles")) {
            role.path("workers").forEach(w -> addWorker(table, role.path("role").asText(), w));
        }
        text.append(table);
        int omitted = service.path("omitted_workers").asInt();
        return text.append(omitted > 0 ? omitted + " more workers\n" : "").toString();
    }

    private static void addWorker(TextTable table, String role, JsonNode worker) {
        table.addRow(
                role,
                worker.path("worker").asText(),
                formatShare(worker.path("probability")),
                worker.path("reason").isTextual() ? worker.path("reason").asText() + formatRemaining(worker) : "-",
                worker.path("cost").isNumber() ? formatNumber(worker.path("cost")) : "-",
                worker.path("own_requests").asText() + " / "
                        + worker.path("own_tokens").asText(),
                worker.path("reported_requests").asText() + " / "
                        + worker.path("reported_tokens").asText(),
                formatMillis(worker.path("newest_report_age_millis")),
                formatNumber(worker.path("speed")),
                formatNumber(worker.path("failure_rate")),
                worker.path("zone").asText(),
                worker.path("owner").asText());
    }

    private static String formatRemaining(JsonNode worker) {
        List<String> remaining = new ArrayList<>();
        for (String field : List.of("closed_millis", "suspended_millis")) {
            if (worker.has(field)) {
                remaining.add("for " + formatMillis(worker.path(field)));
            }
        }
        return remaining.isEmpty() ? "" : " " + String.join(", ", remaining);
    }

    /** Formats the outcome of the whole request or of a service; empty if it has none. */
    private static String formatOutcome(JsonNode json) {
        JsonNode outcome = json.path("outcome");
        if (!outcome.isObject()) {
            return "";
        }
        StringBuilder text = new StringBuilder("outcome: ")
                .append(outcome.path("action").asText().replace('_', ' '))
                .append(
                        outcome.path("status").isNumber()
                                ? " with status " + outcome.path("status").asText()
                                : "")
                .append(", ")
                .append(outcome.path("reason").asText());
        if (outcome.path("retry_after_millis").isNumber()) {
            text.append(", Retry-After ").append(formatMillis(outcome.path("retry_after_millis")));
        }
        JsonNode first = outcome.path("workers").path(0);
        if (first.isObject()) {
            text.append("; worker ").append(first.path("worker").asText());
            text.append(
                    outcome.path("asks_owner").asBoolean()
                            ? ", granted by " + first.path("owner").asText()
                            : "");
            int others = outcome.path("workers").size() - 1;
            text.append(others > 0 ? ", or one of " + others + " others" : "");
        }
        return text.append('\n').toString();
    }

    private static String formatMillis(JsonNode millis) {
        return millis.isNumber() ? String.format(Locale.ROOT, "%.3f s", millis.asLong() / MILLIS_PER_SECOND) : "-";
    }

    private static String formatShare(JsonNode share) {
        return String.format(Locale.ROOT, "%.1f%%", 100 * share.asDouble());
    }

    private static String formatNumber(JsonNode number) {
        return String.format(Locale.ROOT, "%.3f", number.asDouble());
    }
}
