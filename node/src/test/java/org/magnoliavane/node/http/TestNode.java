package org.magnoliavane.node.http;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import org.magnoliavane.BackendServer;
import org.magnoliavane.Fault;
import org.magnoliavane.NodeRun;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.config.Caller;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.config.Limits;
import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.config.PriceClass;
import org.magnoliavane.config.Route;
import org.magnoliavane.config.Service;
import org.magnoliavane.config.ServiceKind;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.membership.NodeAddress;
import org.magnoliavane.node.configuration.ConfigurationVersion;
import org.magnoliavane.node.decision.RecentDecisions;
import org.magnoliavane.node.dispatch.HttpPlainDispatcher;
import org.magnoliavane.node.dispatch.ModelDispatcher;
import org.magnoliavane.node.keyed.KeyedRequestService;
import org.magnoliavane.node.keyed.PlainRequest;
import org.magnoliavane.node.keyed.PlainResponse;
import org.magnoliavane.node.placement.Placement;
import org.magnoliavane.node.placement.PlacementService;
import org.magnoliavane.pool.AttemptPhase;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;
import org.magnoliavane.routing.ApiKeyDigest;

import static org.testng.Assert.assertTrue;

/** Serves callers and operators as one node, with a placement service and keyed requests that tests control. */
final class TestNode implements AutoCloseable, PlacementService, KeyedRequestService {
    static final String KEY = "key-anna";
    static final String OTHER_KEY = "key-ben";
    static final HttpClient HTTP = HttpClient.newHttpClient();

    final List<PlacementRequest> placed = new CopyOnWriteArrayList<>();
    final List<AttemptProgress> reports = new CopyOnWriteArrayList<>();
    final List<String> withdrawn = new CopyOnWriteArrayList<>();
    final List<PlainRequest> keyedRequests = new CopyOnWriteArrayList<>();
    final List<BackendServer> servers = new CopyOnWriteArrayList<>();
    final MetricRegistry metrics = new MetricRegistry();
    final CallerServer callers;
    final OperatorServer operators;
    volatile Optional<Fault> refusal = Optional.empty();
    volatile boolean blockPlacements;
    volatile int transferTokensPerSecond = 100_000;
    volatile int maxBodyBytes = 200_000;
    volatile boolean hasConfiguration = true;

    private final NodeRun run;
    private final NodeAddress address;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private final org.magnoliavane.http.HttpClient client;
    private final HttpPlainDispatcher plain;

    TestNode(String name) throws IOException {
        run = new NodeRun(name, 0x5f3a);
        address = new NodeAddress(run, "127.0.0.1", 1, 2, 3, "a", false);
        client = org.magnoliavane.http.HttpClient.open(name);
        RecentDecisions decisions = RecentDecisions.create(System.getLogger("decisions"), 1000);
        plain = HttpPlainDispatcher.create(client, this::createConfiguration, this::createView, decisions);
        CallerContext context = new CallerContext(
                run,
                this::createConfiguration,
                this::createView,
                ModelDispatcher.create(run, client, this, this::createView, timers, decisions, metrics),
                this,
                plain,
                timers,
                decisions,
                metrics);
        callers = CallerServer.open(context, "127.0.0.1", 0);
        operators = OperatorServer.open(
                context, callers, () -> Optional.of(new ConfigurationVersion(7, 9, "text")), "127.0.0.1", 0);
    }

    HttpResponse<String> chat(String json, String... headers) throws Exception {
        return HTTP.send(
                createRequest("POST", "/v1/chat/completions", json, headers), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> send(String method, String path, String body, String... headers) throws Exception {
        return HTTP.send(createRequest(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    HttpRequest createRequest(String method, String path, String body, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callers.getPort() + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .timeout(Duration.ofSeconds(8))
                .setHeader("Authorization", "Bearer " + KEY);
        for (int i = 0; i < headers.length; i += 2) {
            builder.setHeader(headers[i], headers[i + 1]);
        }
        return builder.build();
    }

    List<AttemptPhase> getPhases() {
        return reports.stream().map(AttemptProgress::phase).toList();
    }

    static void await(BooleanSupplier condition, long millis, String what) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(5);
        }
    }

    static String createBody(int maxTokens, boolean stream) {
        return "{\"model\":\"tide-1\",\"messages\":[{\"role\":\"user\",\"content\":\"Wie hoch steht die Welle?\"}],"
                + "\"max_tokens\":" + maxTokens + ",\"stream\":" + stream
                + ",\"stream_options\":{\"include_usage\":true},\"logit_bias\":{}}";
    }

    @Override
    public CompletionStage<Either<Fault, Placement>> place(PlacementRequest request, Consumer<String> onEnd) {
        placed.add(request);
        if (blockPlacements) {
            return new CompletableFuture<>();
        }
        if (refusal.isPresent()) {
            return CompletableFuture.completedFuture(Either.left(refusal.get()));
        }
        BackendServer prefill = createView()
                .getAvailableServers("briefings", WorkerRole.PREFILL)
                .get(0);
        List<BackendServer> decodes = createView().getAvailableServers("briefings", WorkerRole.DECODE);
        int attempt = Integer.parseInt(request.attempt().substring(33));
        BackendServer decode = decodes.get((attempt - 1) % decodes.size());
        return CompletableFuture.completedFuture(Either.right(new Placement(request.attempt(), prefill, decode, 1, 5)));
    }

    @Override
    public void report(AttemptProgress progress) {
        reports.add(progress);
    }

    @Override
    public void withdraw(String attempt) {
        withdrawn.add(attempt);
    }

    @Override
    public CompletionStage<Either<Fault, PlainResponse>> execute(PlainRequest request) {
        keyedRequests.add(request);
        return plain.dispatch(request);
    }

    @Override
    public String issueRunToken() {
        return run + ".1";
    }

    @Override
    public void close() throws IOException {
        operators.close();
        callers.close();
        client.close();
        timers.shutdownNow();
    }

    private ClusterView createView() {
        NodeAddress otherNode = new NodeAddress(new NodeRun("entry-9", 0xab), "127.0.0.2", 4, 5, 6, "b", false);
        NodeAddress leavingNode = new NodeAddress(new NodeRun("entry-8", 0xac), "127.0.0.3", 4, 5, 6, "b", true);
        return new ClusterView(address, List.of(otherNode, leavingNode, address), new ArrayList<>(servers));
    }

    private Configuration createConfiguration() {
        if (!hasConfiguration) {
            return Configuration.empty();
        }
        ModelSettings model = new ModelSettings(
                List.of("tide-1"), 2048, 20, 100_000, 20, transferTokensPerSecond, 800, 64, 6000, 0.5);
        Service briefings =
                new Service("briefings", ServiceKind.MODEL, List.of(), false, Optional.of(model), List.of());
        Service bookings = new Service(
                "bookings",
                ServiceKind.PLAIN,
                List.of(),
                false,
                Optional.empty(),
                List.of(new Route("POST", "/bookings", false, 400), new Route("GET", "/schedule/*", true, 2000)));
        Service payments = new Service(
                "payments",
                ServiceKind.PLAIN,
                List.of("ledger"),
                false,
                Optional.empty(),
                List.of(new Route("POST", "/payments", false, 400)));
        Service ledger = new Service("ledger", ServiceKind.PLAIN, List.of(), false, Optional.empty(), List.of());
        return new Configuration(
                7,
                Map.of("briefings", briefings, "bookings", bookings, "payments", payments, "ledger", ledger),
                Map.of("prompt", new PriceClass("prompt", 3, 500, 70, 1000)),
                "prompt",
                Map.of("anna", createCaller("anna", KEY), "ben", createCaller("ben", OTHER_KEY)),
                new Limits(maxBodyBytes, 4000, 1, 5000, 10),
                Set.of(),
                Set.of());
    }

    private static Caller createCaller(String name, String key) {
        Set<String> services = name.equals("ben") ? Set.of("briefings") : Set.of();
        return new Caller(name, "partner-" + name, ApiKeyDigest.compute(key), services);
    }
}
