package org.magnoliavane.router.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.AdmissionForecast;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerSelector;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.RoutingState;
import org.magnoliavane.router.dispatch.AdmissionControl;
import org.magnoliavane.router.dispatch.AdmissionQueues;
import org.magnoliavane.router.dispatch.DispatchContext;
import org.magnoliavane.router.dispatch.Dispatcher;
import org.magnoliavane.router.peer.LiveNodes;
import org.magnoliavane.router.peer.PeerTable;
import org.magnoliavane.router.store.NodeListing;
import org.magnoliavane.routing.CallerLimits;
import org.magnoliavane.routing.EngineProfile;
import org.magnoliavane.routing.Organisation;
import org.magnoliavane.routing.RequestKind;
import org.magnoliavane.routing.Route;
import org.magnoliavane.routing.RoutingTable;
import org.magnoliavane.routing.ServiceProfile;
import org.magnoliavane.routing.UsageCap;
import org.magnoliavane.routing.WeightedService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RequestExplainerTest {
    private static final long NOW = 100_000;
    private static final EngineProfile ENGINE = new EngineProfile(8, 10_000, 500);
    private static final String STREAM =
            "host=h&path=/m/x&organisation=acme&prompt_tokens=900&output_tokens=50&deadline_millis=2500";

    private WorkerLoadTracker tracker;
    private WorkerSelector selector;
    private RoutingState state;
    private MetricRegistry metrics;
    private long listAgeMillis;
    private RequestExplainer explainer;

    /** Components that would send, reserve or schedule something are absent, so that a use of them fails. */
    @BeforeMethod
    public void createExplainer() {
        Random random = new Random(3);
        tracker = new WorkerLoadTracker(() -> {});
        selector = new WorkerSelector(tracker, "z", random::nextDouble);
        state = new RoutingState();
        metrics = new MetricRegistry();
        listAgeMillis = 10;
        Dispatcher dispatcher = new Dispatcher(new DispatchContext(
                state,
                () -> listAgeMillis,
                tracker,
                selector,
                new AdmissionQueues(
                        null, () -> NOW, random::nextDouble, s -> false, () -> {}, LoopFailures.create(metrics)),
                new AdmissionControl(
                        new AdmissionForecast(), w -> w.id().equals("d-slow") ? 100 : 1, () -> NOW, random::nextDouble),
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                () -> NOW,
                random::nextDouble,
                metrics));
        NodeListing self = new NodeListing("self", 1, "127.0.0.1", 1, 2, "z");
        explainer = new RequestExplainer(new ExplainContext(
                "self",
                state,
                tracker,
                dispatcher,
                f -> f.kind().getHttpStatus(),
                () -> 5,
                () -> listAgeMillis,
                2000,
                () -> LiveNodes.collect(self, new PeerTable(), NOW),
                (kind, deadline, now) -> true,
                () -> NOW));
        state.install(RoutingTable.create(
                4,
                List.of(createRoute("m", RequestKind.STREAM), createRoute("p", RequestKind.IDEMPOTENT)),
                List.of(
                        new ServiceProfile("m", 100, Optional.of(ENGINE)),
                        new ServiceProfile("p", 2, Optional.empty())),
                new CallerLimits(16_384, 100_000, 3000, 15_000),
                List.of(new Organisation(
                        "acme", Set.of("digest"), 1, Optional.of(new UsageCap(UsageCap.Unit.REQUESTS, 5, 10, 0))))));
        list(3);
    }

    private static Route createRoute(String service, RequestKind kind) {
        List<WeightedService> services = List.of(new WeightedService(service, 1));
        return new Route(service, "h", "/" + service + "/", kind, 3000, 900, 300, 1, services, 2, false, false);
    }

    private void list(int plainWorkers) {
        List<ListedWorker> plain = new ArrayList<>();
        IntStream.range(0, plainWorkers).forEach(i -> plain.add(createWorker("p-" + i, "p", WorkerRole.PLAIN)));
        state.setWorkers(Map.of(
                "p",
                plain,
                "m",
                List.of(
                        createWorker("d-1", "m", WorkerRole.DECODE),
                        createWorker("d-2", "m", WorkerRole.DECODE),
                        createWorker("d-slow", "m", WorkerRole.DECODE),
                        createWorker("f-1", "m", WorkerRole.PREFILL))));
    }

    private static ListedWorker createWorker(String id, String service, WorkerRole role) {
        return new ListedWorker(new BackendServer(id, service, role, "127.0.0.1", 80, "z", false), 6, 1);
    }

    /** Guards against an explanation that disagrees with the next choice. */
    @Test
    public void theExplainedWorkerIsTheOneThatIsChosen() {
        tracker.recordStart("d-2", 100);
        JsonNode service = explain(STREAM).path("services").path(0);
        assertEquals(service.at("/outcome/action").asText(), "sent");
        assertEquals(service.at("/outcome/workers/0/worker").asText(), "d-1");
        assertEquals(service.at("/outcome/workers/0/owner").asText(), "self");
        assertEquals(
                selector.choose(selector.scoreDecode(state.getWorkers("m").subList(0, 2), ENGINE, 930, Set.of(), NOW))
                        .orElseThrow()
                        .id(),
                "d-1");
        assertEquals(service.at("/roles/0/workers/2/reason").asText(), "too_slow");
        assertEquals(service.at("/roles/1/workers/0/probability").asDouble(), 1, 1e-9);
    }

    /** Guards against a missing statement of what the operator asked about. */
    @Test
    public void theAnswerNamesConfigurationRouteOrganisationAndTheAgeOfTheList() {
        listAgeMillis = 2500;
        JsonNode json = explain(STREAM);
        assertEquals(json.at("/configuration/version").asLong(), 4);
        assertTrue(json.at("/worker_list/old").asBoolean());
        assertEquals(json.at("/worker_list/age_millis").asLong(), 2500);
        assertEquals(json.at("/route/name").asText(), "m");
        assertEquals(json.at("/organisation/cap/per_second").asDouble(), 5.0);
        assertEquals(explain("host=h&path=/x").at("/outcome/status").asInt(), 404);
        JsonNode unknown = explain("host=h&path=/p/x&organisation=other");
        assertFalse(unknown.at("/organisation/known").asBoolean());
        assertEquals(unknown.at("/outcome/status").asInt(), 401);
    }

    /** Guards against a full or closed service that is explained as if it were free. */
    @Test
    public void aRequestThatWouldWaitOrBeRefusedIsExplainedAsSuch() {
        List.of("d-1", "d-2").forEach(w -> tracker.recordStart(w, 9000));
        JsonNode waits = explain(STREAM).at("/services/0/outcome");
        assertEquals(waits.path("action").asText(), "waits_at_owner");
        assertEquals(waits.path("workers").size(), 2);
        state.getWorkers("p").forEach(w -> tracker.getNotices().close(w, 4000, NOW));
        JsonNode refused = explain("host=h&path=/p/x&organisation=acme").at("/services/0/outcome");
        assertEquals(refused.path("status").asInt(), 503);
        assertTrue(refused.path("retry_after_millis").asLong() >= 4000);
    }

    /** Guards against a plain worker without free connections that is explained as available where slots are needed. */
    @Test
    public void aWorkerWhoseConnectionsAreInUseIsExplainedInALargeFleet() {
        IntStream.range(0, 30).forEach(n -> tracker.updatePeerLoads("n" + n, Map.of(), NOW));
        tracker.recordStart("p-0", 0);
        JsonNode workers = explain("host=h&path=/p/x&organisation=acme").at("/services/0/roles/0/workers");
        assertEquals(workers.at("/2/worker").asText(), "p-0");
        assertEquals(workers.at("/2/reason").asText(), "connections_in_use");
        assertEquals(workers.at("/0/probability").asDouble(), 0.5, 1e-9);
    }

    @Test
    public void atMostTwoHundredWorkersAreListed() {
        list(230);
        JsonNode service = explain("host=h&path=/p/x&organisation=acme").at("/services/0");
        assertEquals(service.at("/roles/0/workers").size(), 200);
        assertEquals(service.at("/omitted_workers").asInt(), 30);
    }

    /** Guards against a query that disturbs requests: the choices after queries equal those without any. */
    @Test
    public void aQueryChangesNothingThatALaterChoiceReads() {
        List<String> without = chooseSome(() -> {});
        createExplainer();
        List<String> with = chooseSome(() -> {
            explain(STREAM);
            explain("host=h&path=/p/x&organisation=acme");
        });
        assertEquals(with, without);
        assertTrue(metrics.getCounters().isEmpty());
        assertEquals(tracker.getOwnLoads(NOW).size(), 2);
    }

    private List<String> chooseSome(Runnable before) {
        List<String> chosen = new ArrayList<>();
        tracker.recordStart("p-1", 0);
        tracker.recordStart("d-1", 100);
        for (int i = 0; i < 20; i++) {
            before.run();
            chosen.add(selector.choose(selector.scorePlain(state.getWorkers("p"), Set.of(), NOW))
                    .orElseThrow()
                    .id());
            chosen.add(selector.choose(selector.scoreDecode(state.getWorkers("m"), ENGINE, 930, Set.of(), NOW))
                    .orElseThrow()
                    .id());
        }
        return chosen;
    }

    @DataProvider
    public static Object[][] invalidQueries() {
        return new Object[][] {
            {"path=/x", "host", null},
            {"host=h&path=x", "path", "x"},
            {"host=h&path=/x&prompt_tokens=-1", "prompt_tokens", "-1"},
            {"host=h&path=/x&deadline_millis=0", "deadline_millis", "0"},
            {"host=h&path=/x&key=k", "query", "key"},
        };
    }

    @Test(dataProvider = "invalidQueries")
    public void anInvalidValueIsNamedWithWhatIsAllowed(String query, String field, String value) {
        RequestExplainer.Explanation answer = explainer.explain(query);
        assertEquals(answer.status(), 400);
        assertEquals(answer.body().path("field").asText(), field);
        assertEquals(answer.body().path("value").textValue(), value);
        assertFalse(answer.body().path("allowed").asText().isEmpty());
    }

    private JsonNode explain(String query) {
        RequestExplainer.Explanation answer = explainer.explain(query);
        assertEquals(answer.status(), 200, answer.body().toString());
        return answer.body();
    }
}
