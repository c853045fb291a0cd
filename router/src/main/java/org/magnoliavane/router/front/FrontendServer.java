package org.magnoliavane.router.front;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import com.codahale.metrics.Gauge;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.budget.ByteBudget.Allocation;
import org.magnoliavane.http.Failures;
import org.magnoliavane.http.server.BodyReader;
import org.magnoliavane.http.server.NoUpgradeFilter;
import org.magnoliavane.http.server.ReadGate;
import org.magnoliavane.http.server.SingleRequestFilter;
import org.magnoliavane.json.Json;
import org.magnoliavane.router.explain.RequestExplainer;
import org.magnoliavane.router.peer.UsageDecision;
import org.magnoliavane.router.settings.RouterSettings;
import org.magnoliavane.routing.Organisation;
import org.magnoliavane.routing.Route;
import org.magnoliavane.routing.RoutingTable;
import org.magnoliavane.routing.UsageCap;
import org.magnoliavane.usage.UsageUnits;

/**
 * Serves callers, and serves readiness, node addresses and metrics on separate ports.
 *
 * <p>Thread-safe.
 */
public final class FrontendServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(FrontendServer.class.getName());
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_HEADERS = 100;

    /** Path of explanations at the port of the metrics. */
    private static final String EXPLAIN_PATH = "/explain";

    /** Maximum size of a body before a configuration is known; equals the limit of the platform. */
    private static final int DEFAULT_MAX_BODY_BYTES = 4_194_304;

    /** Number of threads that handle requests. Handlers do not block, and a VM has one core. */
    private static final int WORKER_THREADS = 2;

    private static final int ACCEPT_BACKLOG = 1024;

    /** Retry delay for callers of a node that has no configuration yet. */
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 500;

    /** Maximum time for which a request waits until the state of the node has been read again. */
    private static final long MAX_REFRESH_WAIT_MILLIS = 800;

    /**
     * Age up to which a configuration counts as current for requests with unknown keys, so that forged keys cost no reads of the
     * store. It is a third of the time within which a configuration must be in force.
     */
    private static final long MAX_CONFIRMED_AGE_MILLIS = 1000;

    /** Size up to which bodies have a share of the budget of their own. */
    private static final int SMALL_BODY_BYTES = 64 * 1024;

    /** Retry delay for callers whose body found no room; requests that hold the room take about as long. */
    private static final long NO_ROOM_RETRY_MILLIS = 500;

    private final FrontendContext context;
    private final RouterSettings settings;
    private final AtomicInteger active = new AtomicInteger();

    /** Connections of callers that have sent a request and are not closed; a connection is closed after its response. */
    private final AtomicInteger unclosed = new AtomicInteger();

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;
    private final ReadGate gate;
    private final Consumer<FrontendExchange> chain;
    private final RequestGuard guard;

    private FrontendServer(FrontendContext context) {
        this.context = context;
        this.settings = context.settings();
        this.guard = RequestGuard.start(context.millis());
        this.chain = FrontendFilter.chain(
                List.of(
                        this::readBody,
                        this::awaitRefresh,
                        this::resolveRoute,
                        this::authenticate,
                        this::refuseDuringShutdown,
                        this::limitUsage),
                this::dispatch);
        // The listener loses requests that arrive before it has a handler. It opens the address of the metrics, and the
        // addresses of callers follow.
        this.listener = new NetworkListener("callers", settings.callers().host(), settings.metricsPort());
        this.gate = ReadGate.addTo(listener, WORKER_THREADS);
    }

    /**
     * Starts a server.
     *
     * @param context the dependencies of the server
     * @return the running server
     * @throws IOException if a port cannot be bound
     */
    public static FrontendServer open(FrontendContext context) throws IOException {
        FrontendServer frontend = new FrontendServer(context);
        try {
            frontend.start();
        } catch (IOException e) {
            frontend.guard.close();
            throw e;
        }
        return frontend;
    }

    private void start() throws IOException {
        listener.setMaxHttpHeaderSize(MAX_HEADER_BYTES);
        listener.setMaxRequestHeaders(MAX_HEADERS);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        NoUpgradeFilter.addTo(listener);
        SingleRequestFilter.addTo(listener);
        TCPNIOTransport transport = listener.getTransport();
        transport.setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                .setPoolName("callers")
                .setCorePoolSize(WORKER_THREADS)
                .setMaxPoolSize(WORKER_THREADS));
        transport.setSelectorRunnersCount(1);
        transport.setTcpNoDelay(true);
        transport.setReuseAddress(true);
        transport.setServerConnectionBackLog(ACCEPT_BACKLOG);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new RequestHandler(), "/");
        context.metrics().register("requests.active", (Gauge<Integer>) active::get);
        context.metrics().register("errors.survived", (Gauge<Long>) Failures::countSurvived);
        server.start();
        transport.bind(new InetSocketAddress(
                settings.readiness().host(), settings.readiness().port()));
        transport.bind(new InetSocketAddress(
                settings.directory().host(), settings.directory().port()));
        transport.bind(new InetSocketAddress(
                settings.callers().host(), settings.callers().port()));
    }

    /**
     * Counts the active requests of callers.
     *
     * @return the number of requests whose response is not complete
     */
    public int countActive() {
        return active.get();
    }

    /**
     * Returns whether a response is not completely written, or a request has no response yet.
     *
     * @return true if closing the server would cut a response
     */
    public boolean hasUnwrittenResponses() {
        return active.get() > 0 || unclosed.get() > 0;
    }

    /** Refuses new connections. Requests on open connections are still handled. */
    public void stopListening() {
        server.getListeners().forEach(l -> l.getTransport().unbindAll());
    }

    /**
     * Ends the reading of requests. Those that have been read are still answered; all other connections are closed.
     *
     * @param timeoutMillis the maximum wait for requests that are being read, in milliseconds
     * @return the number of connections that were closed although their request was not read, or none was sent
     */
    public int stopReading(long timeoutMillis) {
        return gate.shut(timeoutMillis);
    }

    @Override
    public void close() {
        server.shutdownNow();
        guard.close();
    }

    private void awaitRefresh(FrontendExchange exchange, Consumer<FrontendExchange> next) {
        exchange.setStage("refresh");
        context.refresher()
                .whenRefreshed()
                .toCompletableFuture()
                .copy()
                .completeOnTimeout(
                        null,
                        context.shutdown().limitWait(context.millis().getAsLong(), MAX_REFRESH_WAIT_MILLIS),
                        TimeUnit.MILLISECONDS)
                .whenComplete((refreshed, failure) -> handleFailures(exchange, () -> {
                    // The state before a failed refresh is used, as after one that takes too long.
                    if (failure != null) {
                        Failures.recordSurvived("refresh", failure);
                    }
                    next.accept(exchange);
                }));
    }

    private void resolveRoute(FrontendExchange exchange, Consumer<FrontendExchange> next) {
        if (context.routingState().getRoutingTable().isEmpty()) {
            refuse(exchange, createUnavailable("the node has no configuration yet"));
            return;
        }
        if (setRouteIfFound(exchange)) {
            next.accept(exchange);
            return;
        }
        // The route may have been added since the configuration was read.
        refreshConfiguration(exchange, 0, current -> {
            if (setRouteIfFound(exchange)) {
                next.accept(exchange);
            } else {
                refuse(exchange, createNoRouteFault(current));
            }
        });
    }

    /** Reads the configuration if it may be outdated, and continues with whether it is current. */
    private void refreshConfiguration(FrontendExchange exchange, long maxAgeMillis, Consumer<Boolean> next) {
        exchange.setStage("configuration");
        context.refresher()
                .refreshConfiguration(maxAgeMillis)
                .whenComplete((current, failure) -> handleFailures(exchange, () -> {
                    if (failure != null) {
                        Failures.recordSurvived("configuration", failure);
                    }
                    next.accept(failure == null && current);
                }));
    }

    /** Finds the organisation of a request by its API key, if the configuration has organisations. */
    private void authenticate(FrontendExchange exchange, Consumer<FrontendExchange> next) {
        if (setOrganisationIfFound(exchange)) {
            next.accept(exchange);
            return;
        }
        // The key may have been added since the configuration was read.
        refreshConfiguration(exchange, MAX_CONFIRMED_AGE_MILLIS, current -> {
            if (!setRouteIfFound(exchange)) {
                refuse(exchange, createNoRouteFault(current));
            } else if (setOrganisationIfFound(exchange)) {
                next.accept(exchange);
            } else {
                context.metrics()
                        .counter(current ? "requests.unauthenticated" : "requests.key_unconfirmed")
                        .inc();
                refuse(exchange, createNoKeyFault(current));
            }
        });
    }

    /** Sets the organisation that holds the API key, and returns whether the request needs none or it was found. */
    private static boolean setOrganisationIfFound(FrontendExchange exchange) {
        RoutingTable table = exchange.getRoutingTable();
        if (!table.hasOrganisations()) {
            return true;
        }
        Optional<Organisation> organisation = exchange.takeApiKeyDigest().flatMap(table::findOrganisation);
        organisation.ifPresent(exchange::setOrganisation);
        return organisation.isPresent() || exchange.getRoute().anonymous();
    }

    private static Fault createNoKeyFault(boolean configurationCurrent) {
        return configurationCurrent
                ? Fault.notRun(
                        FaultKind.UNAUTHENTICATED,
                        "the API key is absent or unknown",
                        "send the header Authorization: Bearer with a key of the configuration")
                : createUnavailable("the API key is not known, and the store is unreachable");
    }

    private void dispatch(FrontendExchange exchange) {
        if (exchange.isDisconnected()) {
            LOG.log(
                    Level.INFO,
                    "event=dropped request={0} reason=\"the caller left before the request was dispatched\"",
                    exchange.getMetadata().attemptId());
            return;
        }
        if (exchange.isExpired()) {
            return;
        }
        exchange.setStage("dispatch");
        context.dispatcher().dispatch(exchange.createCallerRequest(), exchange);
    }

    private static Fault createNoRouteFault(boolean configurationCurrent) {
        return configurationCurrent
                ? Fault.notRun(
                        FaultKind.NOT_FOUND,
                        "no route for this host and path",
                        "use a path of the configuration; operators: add a route")
                : createUnavailable("no route is known for this path, and the store is unreachable");
    }

    private void refuseDuringShutdown(FrontendExchange exchange, Consumer<FrontendExchange> next) {
        boolean accepted = context.shutdown()
                .canAccept(
                        exchange.getRoute().kind(),
                        exchange.getDeadlineMillis(),
                        context.millis().getAsLong());
        if (accepted) {
            next.accept(exchange);
            return;
        }
        refuse(
                exchange,
                Fault.notRun(FaultKind.UNAVAILABLE, "the node is about to stop", "send the request to another address")
                        .withRetryAfterMillis(GracefulShutdown.RETRY_AFTER_MILLIS));
    }

    /** Refuses a request whose organisation is over its usage cap. Units are returned if the request does not run. */
    private void limitUsage(FrontendExchange exchange, Consumer<FrontendExchange> next) {
        Optional<Organisation> organisation =
                exchange.getOrganisation().filter(o -> o.usageCap().isPresent());
        if (organisation.isEmpty()) {
            next.accept(exchange);
            return;
        }
        exchange.setStage("usage");
        UsageCap cap = organisation.get().usageCap().get();
        long units = UsageUnits.count(cap, exchange.getMetadata().findTotalTokens());
        context.usage()
                .admit(
                        organisation.get(),
                        units,
                        decision -> handleFailures(exchange, () -> {
                            if (!decision.admitted() || decision.source() == UsageDecision.Source.LOCAL) {
                                LOG.log(
                                        Level.INFO,
                                        "event=usage request={0} organisation={1} per_second={2} burst={3} {4}",
                                        exchange.getMetadata().attemptId(),
                                        organisation.get().name(),
                                        Double.toString(cap.unitsPerSecond()),
                                        Double.toString(cap.burst()),
                                        decision);
                            }
                            if (!decision.admitted()) {
                                exchange.fail(createOverCapFault(decision));
                                return;
                            }
                            exchange.onNotRun(() -> context.usage().giveBack(decision));
                            next.accept(exchange);
                        }));
    }

    private static Fault createOverCapFault(UsageDecision decision) {
        return Fault.notRun(
                        FaultKind.OVERLOADED,
                        "the organisation is over its usage cap",
                        "send the request again after the stated time")
                .withRetryAfterMillis(decision.retryAfterMillis());
    }

    private boolean setRouteIfFound(FrontendExchange exchange) {
        RoutingTable table = context.routingState().getRoutingTable().orElseThrow();
        Optional<Route> route = table.findRoute(exchange.getHost(), exchange.getPath());
        route.ifPresent(r -> exchange.setRoute(table, r));
        return route.isPresent();
    }

    /**
     * Reads the body. Must be the first filter: a body can only be read by the thread that delivers the request, before
     * any wait.
     */
    private void readBody(FrontendExchange exchange, Consumer<FrontendExchange> next) {
        int limit = context.routingState()
                .getRoutingTable()
                .map(r -> r.getLimits().maxBodyBytes())
                .orElse(DEFAULT_MAX_BODY_BYTES);
        long maxMillis = FrontendExchange.MAX_BODY_WAIT_MILLIS;
        long timeoutMillis = exchange.getMetadata().timeoutMillis().orElse(maxMillis);
        exchange.setStage("body");
        Allocation allocation = context.budget().open(getUse(exchange.getRequest()));
        exchange.onComplete(allocation::close);
        BodyReader.read(
                exchange.getRequest(),
                limit,
                Math.min(timeoutMillis, maxMillis),
                context.timers(),
                allocation,
                body -> handleFailures(exchange, () -> {
                    if (exchange.isExpired()) {
                        return;
                    }
                    exchange.setBody(body);
                    exchange.watchConnection();
                    next.accept(exchange);
                }),
                failure -> handleFailures(exchange, () -> refuse(exchange, toFault(failure, limit))));
    }

    private static ByteBudget.Use getUse(Request request) {
        long length = request.getContentLengthLong();
        return length >= 0 && length <= SMALL_BODY_BYTES
                ? ByteBudget.Use.CALLER_BODY
                : ByteBudget.Use.LARGE_CALLER_BODY;
    }

    private static void refuse(FrontendExchange exchange, Fault fault) {
        LOG.log(
                Level.INFO,
                "event=refused request={0} path={1} kind={2} ran={3} reason=\"{4}\"",
                exchange.getMetadata().attemptId(),
                exchange.getPath(),
                fault.kind().toWire(),
                fault.ran(),
                fault.message());
        exchange.fail(fault);
    }

    private static void handleFailures(FrontendExchange exchange, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            Failures.recordSurvived("request " + exchange.getMetadata().attemptId(), e);
            exchange.failInternally();
        }
    }

    private static Fault toFault(BodyReader.Failure failure, int limit) {
        return switch (failure) {
            case TOO_LARGE ->
                Fault.notRun(FaultKind.TOO_LARGE, "the body is larger than " + limit + " bytes", "send a smaller body");
            case MALFORMED ->
                Fault.notRun(
                        FaultKind.INVALID_REQUEST, "the body ended early or is malformed", "send the request again");
            case TOO_SLOW -> createUnavailable("the body did not arrive in time");
            case NO_ROOM ->
                Fault.notRun(
                                FaultKind.UNAVAILABLE,
                                "the node has no memory for the body at present",
                                "send the request again after the stated time")
                        .withRetryAfterMillis(NO_ROOM_RETRY_MILLIS);
            case INTERNAL -> createUnavailable("the node could not receive the body");
        };
    }

    private static Fault createUnavailable(String message) {
        return Fault.notRun(FaultKind.UNAVAILABLE, message, "send the request again after the stated time")
                .withRetryAfterMillis(NO_CONFIGURATION_RETRY_MILLIS);
    }

    private void sendAddresses(FrontendExchange exchange) {
        List<String> addresses = context.directory().getCallerAddresses();
        if (addresses.isEmpty()) {
            exchange.fail(createUnavailable("no node is ready"));
            return;
        }
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("addresses");
        addresses.forEach(list::add);
        body.put("ttlS", settings.addressLifetimeSeconds());
        exchange.sendJson(200, Json.write(body));
    }

    private void sendReadiness(FrontendExchange exchange) {
        boolean ready = context.ready().getAsBoolean();
        exchange.sendJson(ready ? 200 : 503, Json.write(Json.object().put("status", ready ? "ready" : "not ready")));
    }

    private void sendExplanation(FrontendExchange exchange) {
        if (!exchange.getMethod().equals("GET")) {
            exchange.send(405, Map.of("Allow", "GET"), new byte[0]);
            return;
        }
        RequestExplainer.Explanation explanation = context.explainer().explain(exchange.getQuery());
        exchange.sendJson(explanation.status(), Json.write(explanation.body()));
    }

    /** Handles the requests of all ports. */
    private final class RequestHandler extends HttpHandler {
        @Override
        public void service(Request request, Response response) {
            int port = request.getLocalPort();
            boolean fromCaller = port == settings.callers().port();
            FrontendExchange exchange = new FrontendExchange(
                    request, response, context.wire(), context.millis().getAsLong(), fromCaller ? this::end : e -> {});
            if (fromCaller) {
                active.incrementAndGet();
                unclosed.incrementAndGet();
                CloseListener<Closeable, ?> closed = (closeable, type) -> unclosed.decrementAndGet();
                request.getRequest().getConnection().addCloseListener(closed);
                guard.add(exchange);
            }
            exchange.suspend();
            handleFailures(exchange, () -> handle(exchange, port));
        }

        private void end(FrontendExchange exchange) {
            active.decrementAndGet();
            guard.remove(exchange);
        }

        private void handle(FrontendExchange exchange, int port) {
            if (port == settings.callers().port()) {
                chain.accept(exchange);
            } else if (port == settings.readiness().port()) {
                sendReadiness(exchange);
            } else if (port == settings.directory().port()) {
                sendAddresses(exchange);
            } else if (exchange.getPath().equals(EXPLAIN_PATH)) {
                sendExplanation(exchange);
            } else {
                exchange.send(
                        200,
                        Map.of("Content-Type", "text/plain; charset=utf-8"),
                        MetricsBody.toText(context.metrics()));
            }
        }
    }
}
