package org.magnoliavane.router.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.Backlog;
import org.magnoliavane.balance.Exclusion;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.PlainAdmission;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ScoredWorkers;
import org.magnoliavane.balance.ScoredWorkers.Scored;
import org.magnoliavane.router.dispatch.ChoicePreview.Action;
import org.magnoliavane.router.dispatch.ChoicePreview.Outcome;
import org.magnoliavane.router.dispatch.ChoicePreview.RoleScores;
import org.magnoliavane.routing.RequestKind;

/**
 * Finds out what would happen to a request, by the code that executes requests. It sends nothing and changes no counter, queue or
 * reservation. Requests for plain workers wait at reservation owners only, which know alone how many wait there.
 *
 * <p>Thread-safe.
 */
final class RequestPreviewer {
    private static final String RETRY_REMEDY = "send the request again after the stated time";

    private static final String EXPIRED_REASON = "no worker could accept the request in time";

    private final DispatchContext context;

    RequestPreviewer(DispatchContext context) {
        this.context = context;
    }

    ChoicePreview preview(CallerRequest request, String service) {
        return request.route().kind() == RequestKind.STREAM
                ? previewStream(request, service)
                : previewPlain(request, service);
    }

    private ChoicePreview previewPlain(CallerRequest request, String service) {
        PlainWorkers workers = new PlainWorkers(context, service);
        PlainAdmission admission = workers.getAdmission();
        ScoredWorkers scored =
                admission.needsSlots() ? workers.scoreForSlot(admission, Set.of(), Set.of()) : workers.score(Set.of());
        RoleScores plain = new RoleScores(WorkerRole.PLAIN, scored, scored.computeProbabilities());
        return new ChoicePreview(
                service,
                addUnusedRoles(service, List.of(plain)),
                0,
                0,
                OptionalLong.empty(),
                findPlainOutcome(request, service, admission, plain));
    }

    private Outcome findPlainOutcome(
            CallerRequest request, String service, PlainAdmission admission, RoleScores plain) {
        if (getRemainingMillis(request) <= 0) {
            return refuse(service, WorkerRole.PLAIN, EXPIRED_REASON);
        }
        List<ListedWorker> best = getMostProbable(plain);
        if (best.isEmpty()) {
            return refuse(service, WorkerRole.PLAIN, "no worker of service " + service + " is available");
        }
        if (!admission.needsSlots()) {
            return Outcome.of(Action.SENT, "the node sends requests to these workers without a slot", best, false);
        }
        ListedWorker first = best.get(0);
        Demand demand = admission.createDemand(
                first,
                request.urgency(),
                new PlainAdmission.Times(
                        request.arrivalMillis(), request.route().targetMillis(), request.deadlineMillis()),
                context.loadTracker().getSpeeds().getPlainMillis(service, first.id(), now()),
                true,
                true,
                now());
        if (context.loadTracker().countRequests(first.id(), now()) < demand.slots()) {
            return Outcome.of(Action.SENT, "a slot is free as far as this node knows", best, true);
        }
        if (demand.waitMillis() > 0) {
            return Outcome.of(Action.WAITS_AT_OWNER, "all slots are in use as far as this node knows", best, true);
        }
        return Outcome.refused(
                Fault.notRun(FaultKind.UNAVAILABLE, "no worker can serve the request in time", RETRY_REMEDY)
                        .withRetryAfterMillis(PlainAdmission.computeRetryAfterMillis(
                                getRemainingMillis(request), context.random().getAsDouble())));
    }

    private ChoicePreview previewStream(CallerRequest request, String service) {
        GenerationSize size = request.metadata().generation().orElse(new GenerationSize(0, 0, 0));
        StreamWorkers workers = new StreamWorkers(context, request, service, size, Set.of(), () -> false);
        ScoredWorkers scored = workers.scoreDecode();
        WorkerRole role = workers.findEngine().isPresent() ? WorkerRole.DECODE : WorkerRole.PLAIN;
        RoleScores decode = new RoleScores(role, scored, scored.computeProbabilities());
        List<RoleScores> roles = new ArrayList<>(List.of(decode));
        if (role == WorkerRole.DECODE) {
            roles.add(scorePrefill(workers, decode, size));
        }
        List<Backlog> own = context.admissionQueues().getBacklogs();
        return new ChoicePreview(
                service,
                addUnusedRoles(service, roles),
                own.stream()
                        .filter(b -> b.service().equals(service))
                        .mapToInt(Backlog::requests)
                        .sum(),
                context.admissionControl().countWaiting(own, service),
                context.admissionControl()
                        .estimateWaitMillis(workers, workers.getUsable(), own, service, request.urgency()),
                findStreamOutcome(request, service, size, workers, own, roles));
    }

    /** Scores prefill workers for the decode workers that may be chosen, whose zones decide on the transfer of the KV cache. */
    private static RoleScores scorePrefill(StreamWorkers workers, RoleScores decode, GenerationSize size) {
        Map<String, Double> zones = new HashMap<>();
        for (Scored candidate : decode.scored().getCandidates()) {
            ListedWorker worker = candidate.worker();
            zones.merge(worker.server().zone(), decode.probabilities().get(worker.id()), Double::sum);
        }
        if (zones.isEmpty()) {
            // The request waits for a decode worker, which may be any of them.
            decode.scored()
                    .workers()
                    .forEach(s -> zones.merge(s.worker().server().zone(), 1.0, Double::sum));
            zones.replaceAll((zone, workersOfZone) ->
                    workersOfZone / decode.scored().workers().size());
        }
        Optional<String> mainZone = zones.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .or(() -> decode.scored().workers().stream()
                        .map(s -> s.worker().server().zone())
                        .findFirst());
        ScoredWorkers scored = workers.scorePrefill(mainZone.orElse(""));
        Map<String, Double> probabilities = new HashMap<>();
        if (size.promptTokens() > 0) {
            zones.forEach((zone, share) -> workers.scorePrefill(zone)
                    .computeProbabilities()
                    .forEach((worker, p) -> probabilities.merge(worker, share * p, Double::sum)));
        }
        return new RoleScores(WorkerRole.PREFILL, scored, probabilities);
    }

    /** Finds the outcome in the order of the checks of {@link StreamExecution} and {@link CapacityWait#tryAdmit}. */
    private Outcome findStreamOutcome(
            CallerRequest request,
            String service,
            GenerationSize size,
            StreamWorkers workers,
            Collection<Backlog> own,
            List<RoleScores> roles) {
        if (getRemainingMillis(request) <= 0) {
            return refuse(service, WorkerRole.DECODE, EXPIRED_REASON);
        }
        long prefillMillis =
                (long) context.loadTracker().getSpeeds().getMeanPrefillMillis(service, size.promptTokens());
        long latestStartMillis = StreamTimes.getLatestStartMillis(request, request.arrivalMillis(), prefillMillis);
        Optional<AdmissionControl.Refusal> refusal = context.admissionControl()
                .findRefusal(
                        workers,
                        own,
                        service,
                        request.urgency(),
                        latestStartMillis - now(),
                        getRemainingMillis(request));
        if (refusal.isPresent()) {
            return refuse(
                    service,
                    WorkerRole.DECODE,
                    refusal.get().reason(),
                    refusal.get().retryAfterMillis());
        }
        if (!workers.hasUsable()) {
            return refuse(service, WorkerRole.DECODE, "no worker is available");
        }
        if (!context.admissionQueues().wouldAsk(service, request.urgency())) {
            return Outcome.of(Action.WAITS_AT_NODE, "earlier requests ask for capacity first", List.of(), false);
        }
        Optional<ListedWorker> prefillWorker =
                roles.stream().skip(1).flatMap(r -> getMostProbable(r).stream()).findFirst();
        if (prefillWorker
                .filter(w -> context.loadTracker().countTokens(w.id(), now()) > StreamTimes.MAX_QUEUED_TOKENS)
                .isPresent()) {
            return Outcome.of(
                    Action.WAITS_AT_NODE,
                    "too many tokens are queued at prefill worker "
                            + prefillWorker.get().id(),
                    List.of(),
                    false);
        }
        List<ListedWorker> free = getMostProbable(roles.get(0));
        if (free.isEmpty()) {
            return findWait(workers);
        }
        return Outcome.of(
                Action.SENT,
                "the worker has free capacity as far as this node knows",
                free,
                workers.findEngine().isPresent());
    }

    private static Outcome findWait(StreamWorkers workers) {
        List<ListedWorker> toWaitFor = workers.findEngine().isEmpty()
                ? List.of()
                : workers.scoreToWaitFor().getCandidates().stream()
                        .sorted(Comparator.comparingDouble(Scored::cost))
                        .map(Scored::worker)
                        .toList();
        return toWaitFor.isEmpty()
                ? Outcome.of(Action.WAITS_AT_NODE, "no worker can be asked for capacity", List.of(), false)
                : Outcome.of(
                        Action.WAITS_AT_OWNER,
                        "no worker has free capacity as far as this node knows",
                        toWaitFor,
                        true);
    }

    private Outcome refuse(String service, WorkerRole role, String reason) {
        return refuse(service, role, reason, RequestExecution.NO_WORKER_RETRY_AFTER_MILLIS);
    }

    private Outcome refuse(String service, WorkerRole role, String reason, long retryAfterMillis) {
        // As in RequestExecution.isEligible: streams use all workers but those for prefill.
        long millis = RequestExecution.getRetryAfterMillis(
                context,
                service,
                w -> role == WorkerRole.PLAIN
                        ? w.server().role() == role
                        : w.server().role() != WorkerRole.PREFILL,
                retryAfterMillis);
        return Outcome.refused(
                Fault.notRun(FaultKind.UNAVAILABLE, reason, RETRY_REMEDY).withRetryAfterMillis(millis));
    }

    /** Adds the workers of the service whose role no request of this kind uses. */
    private List<RoleScores> addUnusedRoles(String service, List<RoleScores> used) {
        Set<WorkerRole> known = used.stream().map(RoleScores::role).collect(Collectors.toSet());
        Map<WorkerRole, List<ListedWorker>> others = context.routingState().getWorkers(service).stream()
                .filter(w -> !known.contains(w.server().role()))
                .collect(Collectors.groupingBy(w -> w.server().role()));
        Stream<RoleScores> unused = others.entrySet().stream()
                .map(e -> new RoleScores(
                        e.getKey(),
                        new ScoredWorkers(List.of(), false, 0).withExcluded(e.getValue(), Exclusion.ROLE_NOT_USED),
                        Map.of()));
        return Stream.concat(used.stream(), unused).toList();
    }

    /** Gets the workers that may be chosen, the most probable one first. */
    private static List<ListedWorker> getMostProbable(RoleScores role) {
        Map<String, Double> probabilities = role.probabilities();
        return role.scored().getCandidates().stream()
                .map(Scored::worker)
                .filter(w -> probabilities.getOrDefault(w.id(), 0.0) > 0)
                .sorted(Comparator.comparingDouble((ListedWorker w) -> -probabilities.get(w.id())))
                .toList();
    }

    private long getRemainingMillis(CallerRequest request) {
        return request.deadlineMillis() - now();
    }

    private long now() {
        return context.clockMillis().getAsLong();
    }
}
