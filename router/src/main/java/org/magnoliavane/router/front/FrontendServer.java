package org.magnoliavane.router.front;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import com.codahale.metrics.Gauge;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.http.server.BodyReader;
import org.magnoliavane.http.server.NoUpgradeFilter;
import org.magnoliavane.http.server.OneRequestFilter;
import org.magnoliavane.json.Json;
import org.magnoliavane.router.settings.RouterSettings;
import org.magnoliavane.routing.Route;
import org.magnoliavane.routing.RoutingTable;

/**
 * Serves callers, and tells readiness, addresses and metrics on ports of their own.
 *
 * <p>Thread-safe.
 */
public final class FrontendServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(FrontendServer.class.getName());
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_HEADERS = 100;

    /** Largest body while no configuration is known; the platform's own limit. */
    private static final int DEFAULT_MAX_BODY_BYTES = 4_194_304;

    /** Threads that take requests; they never wait, and a VM has one core. */
    private static final int WORKER_THREADS = 2;

    private static final int ACCEPT_BACKLOG = 1024;

    /** Time after which a caller may come back to a node that has no configuration yet. */
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 500;

    /** Time after which a caller may ask another node in place of one that is about to stop. */
    private static final long LEAVING_RETRY_MILLIS = 50;

    /** Time within which a body must have arrived when the caller states no time limit. */
    private static final long MAX_BODY_MILLIS = 30_000;

    private final FrontendContext parts;
    private final RouterSettings settings;
    private final AtomicInteger active = new AtomicInteger();
    private final HttpServer server = new HttpServer();
    private final Consumer<FrontExchange> chain;

    private FrontendServer(FrontendContext parts) {
        this.parts = parts;
        this.settings = parts.settings();
        this.chain = FrontFilter.chain(
                List.of(this::readBody, this::awaitCurrent, this::route, this::refuseWhenLeaving),
                exchange -> parts.dispatcher().dispatch(exchange.toCall(), exchange));
    }

    /**
     * Starts to serve.
     *
     * @param parts what the server uses
     * @return the server
     * @throws IOException when it cannot listen
     */
    public static FrontendServer open(FrontendContext parts) throws IOException {
        FrontendServer front = new FrontendServer(parts);
        front.start();
        return front;
    }

    private void start() throws IOException {
        NetworkListener listener = new NetworkListener(
                "callers", settings.callers().host(), settings.callers().port());
        listener.setMaxHttpHeaderSize(MAX_HEADER_BYTES);
        listener.setMaxRequestHeaders(MAX_HEADERS);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        NoUpgradeFilter.addTo(listener);
        OneRequestFilter.addTo(listener);
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
        server.getServerConfiguration().addHttpHandler(new Entry(), "/");
        parts.metrics().register("requests.active", (Gauge<Integer>) active::get);
        server.start();
        transport.bind(new InetSocketAddress(
                settings.readiness().host(), settings.readiness().port()));
        transport.bind(new InetSocketAddress(
                settings.directory().host(), settings.directory().port()));
        transport.bind(new InetSocketAddress(settings.callers().host(), settings.metricsPort()));
    }

    /**
     * Counts the requests that are not answered yet.
     *
     * @return the number of requests
     */
    public int countActive() {
        return active.get();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    private void awaitCurrent(FrontExchange exchange, Consumer<FrontExchange> next) {
        parts.freshness().whenCurrent().thenRun(() -> next.accept(exchange));
    }

    private void route(FrontExchange exchange, Consumer<FrontExchange> next) {
        if (parts.fleet().getRoutingTable().isEmpty()) {
            exchange.fail(unavailable("the node has no configuration yet"));
            return;
        }
        if (findRoute(exchange)) {
            next.accept(exchange);
            return;
        }
        // The route may have been added a moment ago.
        parts.freshness().readConfiguration().thenAccept(current -> {
            if (findRoute(exchange)) {
                next.accept(exchange);
            } else if (current) {
                exchange.fail(Fault.notRun(
                        FaultKind.NOT_FOUND,
                        "no route for this host and path",
                        "use a path of the configuration; operators: add a route"));
            } else {
                exchange.fail(unavailable("no route is known for this path, and the store cannot be asked"));
            }
        });
    }

    private void refuseWhenLeaving(FrontExchange exchange, Consumer<FrontExchange> next) {
        if (parts.departure().mayTake(exchange.getRoute(), parts.millis().getAsLong())) {
            next.accept(exchange);
            return;
        }
        exchange.fail(
                Fault.notRun(FaultKind.UNAVAILABLE, "the node is about to stop", "send the request to another address")
                        .withRetryAfterMillis(LEAVING_RETRY_MILLIS));
    }

    private boolean findRoute(FrontExchange exchange) {
        RoutingTable table = parts.fleet().getRoutingTable().orElseThrow();
        Optional<Route> route = table.findRoute(exchange.getHost(), exchange.getPath());
        route.ifPresent(r -> exchange.setRoute(table, r));
        return route.isPresent();
    }

    /** Comes first: a body can only be read by the thread that brings the request, not after a wait. */
    private void readBody(FrontExchange exchange, Consumer<FrontExchange> next) {
        int limit = parts.fleet()
                .getRoutingTable()
                .map(r -> r.getLimits().maxBodyBytes())
                .orElse(DEFAULT_MAX_BODY_BYTES);
        long patience = exchange.getHead().timeoutMillis().orElse(MAX_BODY_MILLIS);
        BodyReader.read(
                exchange.getRequest(),
                limit,
                Math.min(patience, MAX_BODY_MILLIS),
                parts.timers(),
                body -> {
                    exchange.setBody(body);
                    exchange.watchConnection();
                    next.accept(exchange);
                },
                failure -> exchange.fail(toFault(failure, limit)));
    }

    private static Fault toFault(BodyReader.Failure failure, int limit) {
        return switch (failure) {
            case TOO_LARGE ->
                Fault.notRun(FaultKind.TOO_LARGE, "the body is larger than " + limit + " bytes", "send a smaller body");
            case MALFORMED ->
                Fault.notRun(
                        FaultKind.INVALID_REQUEST, "the body ended early or is malformed", "send the request again");
            case TOO_SLOW -> unavailable("the body did not arrive in time");
        };
    }

    private static Fault unavailable(String message) {
        return Fault.notRun(FaultKind.UNAVAILABLE, message, "send the request again after the stated time")
                .withRetryAfterMillis(NO_CONFIGURATION_RETRY_MILLIS);
    }

    private void answerAddresses(FrontExchange exchange) {
        List<String> addresses = parts.directory().getCallerAddresses();
        if (addresses.isEmpty()) {
            exchange.fail(unavailable("no node is ready"));
            return;
        }
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("addresses");
        addresses.forEach(list::add);
        body.put("ttlS", settings.addressLifetimeSeconds());
        exchange.answerJson(200, Json.write(body));
    }

    private void answerReady(FrontExchange exchange) {
        boolean now = parts.ready().getAsBoolean();
        exchange.answerJson(now ? 200 : 503, Json.write(Json.object().put("status", now ? "ready" : "not ready")));
    }

    /** Takes requests from Grizzly. */
    private final class Entry extends HttpHandler {
        @Override
        public void service(Request request, Response response) {
            int port = request.getLocalPort();
            boolean fromCaller = port == settings.callers().port();
            if (fromCaller) {
                active.incrementAndGet();
            }
            FrontExchange exchange = new FrontExchange(
                    request, response, parts.wire(), parts.millis().getAsLong(), () -> {
                        if (fromCaller) {
                            active.decrementAndGet();
                        }
                    });
            exchange.suspend();
            try {
                if (fromCaller) {
                    chain.accept(exchange);
                } else if (port == settings.readiness().port()) {
                    answerReady(exchange);
                } else if (port == settings.directory().port()) {
                    answerAddresses(exchange);
                } else {
                    exchange.send(
                            200,
                            Map.of("Content-Type", "text/plain; charset=utf-8"),
                            MetricsBody.toText(parts.metrics()));
                }
            } catch (RuntimeException e) {
                LOG.log(
                        Level.ERROR,
                        "event=internal_fault request=" + exchange.getHead().attemptId(),
                        e);
                exchange.fail(Fault.unknownOutcome(
                        FaultKind.INTERNAL, "the node has a fault of its own", "tell the operators the request id"));
            }
        }
    }
}
