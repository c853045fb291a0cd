package org.magnoliavane.router.explain;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.balance.Exclusion;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ScoredWorkers.Scored;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerLoadTracker.ReportedLoad;
import org.magnoliavane.json.Json;
import org.magnoliavane.router.dispatch.ChoicePreview;
import org.magnoliavane.router.dispatch.ChoicePreview.RoleScores;
import org.magnoliavane.router.peer.LiveNodes;

/**
 * Formats the workers of one explanation.
 *
 * <p>Not thread-safe; use each instance for one explanation.
 */
final class WorkerFormat {
    /** Largest number of workers in an explanation, which bounds its size to about 100 KB. */
    static final int MAX_WORKERS = 200;

    private final ExplainContext context;
    private final LiveNodes nodes;
    private final long nowMillis;
    private int remaining = MAX_WORKERS;

    WorkerFormat(ExplainContext context, LiveNodes nodes) {
        this.context = context;
        this.nodes = nodes;
        this.nowMillis = context.clockMillis().getAsLong();
    }

    /** Adds the workers of a service by role, the most probable ones first. */
    void addTo(ObjectNode service, ChoicePreview preview) {
        ArrayNode roles = service.putArray("roles");
        int omitted = 0;
        for (RoleScores role : preview.roles()) {
            ObjectNode json = roles.addObject().put("role", role.role().name().toLowerCase(Locale.ROOT));
            ArrayNode workers = json.put("drawn", role.scored().drawn()).putArray("workers");
            List<Scored> sorted = role.scored().workers().stream()
                    .sorted(Comparator.comparingDouble((Scored s) -> -getProbability(role, s))
                            .thenComparing(s -> s.worker().id()))
                    .toList();
            sorted.stream().limit(remaining).forEach(s -> workers.add(toJson(s, getProbability(role, s))));
            omitted += sorted.size() - workers.size();
            remaining -= workers.size();
        }
        service.put("omitted_workers", omitted);
    }

    private static double getProbability(RoleScores role, Scored scored) {
        return role.probabilities().getOrDefault(scored.worker().id(), 0.0);
    }

    private ObjectNode toJson(Scored scored, double probability) {
        ListedWorker worker = scored.worker();
        WorkerLoadTracker tracker = context.loadTracker();
        ObjectNode json = Json.object()
                .put("worker", worker.id())
                .put("zone", worker.server().zone())
                .put("may_be_chosen", scored.exclusion().isEmpty())
                .put("reason", scored.exclusion().map(Exclusion::toWire).orElse(null))
                .put("probability", probability);
        if (Double.isNaN(scored.cost())) {
            json.putNull("cost");
        } else {
            json.put("cost", scored.cost());
        }
        long closedMillis = tracker.getNotices().getClosedMillis(worker, nowMillis);
        long suspendedMillis = tracker.getSuspendedMillis(worker.id(), nowMillis);
        if (closedMillis > 0) {
            json.put("closed_millis", closedMillis);
        }
        if (suspendedMillis > 0) {
            json.put("suspended_millis", suspendedMillis);
        }
        ReportedLoad reported = tracker.getReportedLoad(worker.id(), nowMillis);
        json.put("own_requests", tracker.countOwnRequests(worker.id()))
                .put("own_tokens", tracker.countOwnTokens(worker.id()))
                .put("reported_requests", reported.requests())
                .put("reported_tokens", reported.tokens());
        RequestExplainer.putMillis(json, "newest_report_age_millis", reported.newestAgeMillis());
        return json.put("speed", tracker.getSpeeds().getSpeed(worker.id(), nowMillis))
                .put("failure_rate", tracker.getFailureRate(worker.id(), nowMillis))
                .put("owner", nodes.findOwner(worker.id()).name());
    }
}
