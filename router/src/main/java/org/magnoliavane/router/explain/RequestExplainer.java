package org.magnoliavane.router.explain;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.json.Json;
import org.magnoliavane.router.dispatch.CallerRequest;
import org.magnoliavane.router.dispatch.ChoicePreview;
import org.magnoliavane.router.dispatch.ChoicePreview.Outcome;
import org.magnoliavane.router.dispatch.GenerationSize;
import org.magnoliavane.router.dispatch.RequestMetadata;
import org.magnoliavane.router.front.GracefulShutdown;
import org.magnoliavane.router.peer.LiveNodes;
import org.magnoliavane.routing.Organisation;
import org.magnoliavane.routing.Route;
import org.magnoliavane.routing.RoutingTable;
import org.magnoliavane.routing.WeightedService;

/**
 * Explains to operators where a request would be sent now, and why. An explanation sends no message, does not read the store, and
 * changes no counter, queue or reservation.
 *
 * <p>Thread-safe.
 */
public final class RequestExplainer {
    /** A query reads nothing, but a request that the known configuration does not permit makes the node read it first. */
    private static final String READS_FIRST =
            "; the configuration is read first, and the status is 503 if the store does not respond";

    private final ExplainContext context;

    /**
     * Creates an explainer.
     *
     * @param context the dependencies
     */
    public RequestExplainer(ExplainContext context) {
        this.context = context;
    }

    /**
     * An explanation, or the reason why there is none.
     *
     * @param status the HTTP status
     * @param body the content
     */
    public record Explanation(int status, ObjectNode body) {}

    /**
     * Explains a request.
     *
     * @param query the query of the URL
     * @return the explanation
     */
    public Explanation explain(String query) {
        ExplainQuery parsed;
        try {
            parsed = ExplainQuery.parse(query);
        } catch (ExplainQuery.InvalidQueryException e) {
            ObjectNode body = Json.object()
                    .put("error", e.getMessage())
                    .put("field", e.getField())
                    .put("value", e.findValue().orElse(null))
                    .put("allowed", e.getAllowed());
            return new Explanation(400, body);
        }
        Optional<RoutingTable> table = context.routingState().getRoutingTable();
        return table.isEmpty()
                ? new Explanation(503, Json.object().put("error", "the node has no configuration yet"))
                : new Explanation(200, explain(parsed, table.get()));
    }

    private ObjectNode explain(ExplainQuery query, RoutingTable table) {
        LiveNodes nodes = context.liveNodes().get();
        ObjectNode body = Json.object().put("node", context.node());
        ObjectNode configuration = body.putObject("configuration").put("version", table.getVersion());
        putAge(configuration, context.configurationAgeMillis().getAsLong());
        long listAgeMillis = context.workerListAgeMillis().getAsLong();
        putAge(body.putObject("worker_list"), listAgeMillis)
                .put("old", listAgeMillis > context.maxWorkerListAgeMillis())
                .put("max_age_millis", context.maxWorkerListAgeMillis());
        Optional<Route> route = table.findRoute(query.host(), query.path());
        if (route.isEmpty()) {
            body.putNull("route");
            Fault fault = Fault.notRun(FaultKind.NOT_FOUND, "no route for this host and path" + READS_FIRST, "");
            body.set("outcome", toJson(Outcome.refused(fault), nodes));
            return body;
        }
        Optional<Organisation> organisation = query.organisation().flatMap(table::findOrganisationByName);
        body.set("route", toJson(route.get()));
        int urgency = table.getUrgency(organisation, route.get());
        body.set("organisation", toJson(query, organisation, urgency, table.countUrgencies()));
        CallerRequest request = createRequest(query, table, route.get(), organisation, urgency);
        Optional<Fault> refusal = findRefusal(table, request, query);
        refusal.ifPresent(f -> body.set("outcome", toJson(Outcome.refused(f), nodes)));
        ArrayNode services = body.putArray("services");
        WorkerFormat workers = new WorkerFormat(context, nodes);
        double totalWeight = route.get().services().stream()
                .mapToDouble(WeightedService::weight)
                .sum();
        for (WeightedService weighted : route.get().services()) {
            ChoicePreview preview = context.dispatcher().preview(request, weighted.service());
            ObjectNode service = services.addObject()
                    .put("service", weighted.service())
                    .put("kind", isModel(table, weighted.service()) ? "model" : "plain")
                    .put("share", totalWeight > 0 ? weighted.weight() / totalWeight : 1);
            ObjectNode waiting = service.putObject("waiting")
                    .put("here", preview.waitingHere())
                    .put("at_all_nodes", preview.waitingAtAllNodes());
            putMillis(waiting, "expected_wait_millis", preview.expectedWaitMillis());
            if (refusal.isEmpty()) {
                service.set("outcome", toJson(preview.outcome(), nodes));
            }
            workers.addTo(service, preview);
        }
        return body;
    }

    private static boolean isModel(RoutingTable table, String service) {
        return table.findService(service).flatMap(s -> s.engine()).isPresent();
    }

    private CallerRequest createRequest(
            ExplainQuery query, RoutingTable table, Route route, Optional<Organisation> organisation, int urgency) {
        Optional<GenerationSize> generation = query.promptTokens() + query.outputTokens() == 0
                ? Optional.empty()
                : Optional.of(new GenerationSize(query.promptTokens(), query.outputTokens(), query.outputTokens()));
        RequestMetadata metadata =
                new RequestMetadata("", query.deadlineMillis(), generation, Optional.empty(), List.of());
        long now = context.clockMillis().getAsLong();
        return new CallerRequest(
                "GET",
                query.path(),
                Map.of(),
                metadata,
                new byte[0],
                route,
                table.getVersion(),
                now,
                now + metadata.getLimitMillis(route),
                organisation,
                urgency,
                table.countUrgencies());
    }

    /** Finds the reason why the request is refused before a worker is chosen. Usage caps are decided by their owners. */
    private Optional<Fault> findRefusal(RoutingTable table, CallerRequest request, ExplainQuery query) {
        if (table.hasOrganisations()
                && request.organisation().isEmpty()
                && !request.route().anonymous()) {
            String message = query.organisation().isPresent()
                    ? "the organisation is not known"
                    : "the route needs an API key, and no organisation is given";
            return Optional.of(Fault.notRun(FaultKind.UNAUTHENTICATED, message + READS_FIRST, ""));
        }
        boolean accepted = context.acceptance()
                .canAccept(
                        request.route().kind(),
                        request.deadlineMillis(),
                        context.clockMillis().getAsLong());
        return accepted
                ? Optional.empty()
                : Optional.of(Fault.notRun(FaultKind.UNAVAILABLE, "the node is about to stop", "")
                        .withRetryAfterMillis(GracefulShutdown.RETRY_AFTER_MILLIS));
    }

    private static ObjectNode toJson(Route route) {
        return Json.object()
                .put("name", route.name())
                .put("host", route.host())
                .put("path_prefix", route.pathPrefix())
                .put("kind", route.kind().name().toLowerCase(Locale.ROOT))
                .put("timeout_millis", route.timeoutMillis())
                .put("target_millis", route.targetMillis());
    }

    private static ObjectNode toJson(
            ExplainQuery query, Optional<Organisation> organisation, int urgency, int urgencies) {
        ObjectNode json = Json.object()
                // A name that is not known may be a key given by mistake.
                .put(
                        "name",
                        query.organisation()
                                .filter(n -> organisation.isPresent())
                                .orElse(null))
                .put("known", organisation.isPresent())
                .put("urgency", urgency)
                .put("urgencies", urgencies);
        organisation
                .flatMap(Organisation::usageCap)
                .ifPresentOrElse(
                        cap -> json.putObject("cap")
                                .put("unit", cap.unit().name().toLowerCase(Locale.ROOT))
                                .put("per_second", cap.unitsPerSecond())
                                .put("burst", cap.burst()),
                        () -> json.putNull("cap"));
        return json;
    }

    private ObjectNode toJson(Outcome outcome, LiveNodes nodes) {
        ObjectNode json = Json.object()
                .put("action", outcome.action().name().toLowerCase(Locale.ROOT))
                .put("reason", outcome.reason())
                .put("asks_owner", outcome.asksOwner());
        ArrayNode workers = json.putArray("workers");
        outcome.workers().stream()
                .limit(WorkerFormat.MAX_WORKERS)
                .forEach(w -> workers.addObject()
                        .put("worker", w.id())
                        .put("owner", nodes.findOwner(w.id()).name()));
        outcome.fault().ifPresent(f -> {
            json.put("status", context.statuses().applyAsInt(f));
            putMillis(json, "retry_after_millis", f.retryAfterMillis());
        });
        return json;
    }

    private static ObjectNode putAge(ObjectNode json, long ageMillis) {
        putMillis(json, "age_millis", ageMillis == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(ageMillis));
        return json;
    }

    static void putMillis(ObjectNode json, String name, OptionalLong millis) {
        if (millis.isPresent()) {
            json.put(name, millis.getAsLong());
        } else {
            json.putNull(name);
        }
    }
}
