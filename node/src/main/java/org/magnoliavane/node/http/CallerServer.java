package org.magnoliavane.node.http;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.codahale.metrics.Gauge;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.NIOConnection;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.http.server.NoUpgradeFilter;
import org.magnoliavane.http.server.SingleRequestFilter;
import org.magnoliavane.json.Json;
import org.magnoliavane.node.decision.RequestDecisions;
import org.magnoliavane.router.front.MetricsBody;

/**
 * Serves the requests of callers. Each request passes the filters that authenticate, route and read the body, and then
 * its endpoint. No thread is blocked while a request waits for its response.
 *
 * <p>Thread-safe.
 */
public final class CallerServer implements AutoCloseable {
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_HEADERS = 64;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long NO_CONFIGURATION_RETRY_AFTER_MILLIS = 500;
    private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");

    private final CallerContext context;
    private final HttpServer server;
    private final NetworkListener listener;
    private final GracefulShutdown shutdown = new GracefulShutdown();
    private final AddressesEndpoint addresses;
    private final Consumer<CallerExchange> filters;

    private CallerServer(CallerContext context, String host, int port) throws IOException {
        this.context = context;
        this.addresses = new AddressesEndpoint(context, shutdown);
        ChatEndpoint chat = new ChatEndpoint(context);
        PlainEndpoint plain = new PlainEndpoint(context.keyedRequests(), context.plain());
        this.filters = RequestFilter.chain(
                List.of(
                        this::handleLocalPath,
                        CallerServer::requireConfiguration,
                        new AuthenticationFilter(),
                        new RouteFilter(chat, plain),
                        new ReadBodyFilter(context.timers())),
                exchange -> exchange.getEndpoint().accept(exchange));
        this.server = new HttpServer();
        this.listener = new NetworkListener("callers", host, port);
        listener.setMaxHttpHeaderSize(MAX_HEADER_BYTES);
        listener.setMaxRequestHeaders(MAX_HEADERS);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        NoUpgradeFilter.addTo(listener);
        SingleRequestFilter.addTo(listener);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new RequestHandler(), "/");
        context.metrics().register("requests.active", (Gauge<Integer>) shutdown::getActiveCount);
        server.start();
    }

    /**
     * Starts the server.
     *
     * @param context the dependencies of the server
     * @param host the IP address to listen on
     * @param port the TCP port to listen on; 0 selects a free port
     * @return the server
     * @throws IOException when the server cannot listen
     */
    public static CallerServer open(CallerContext context, String host, int port) throws IOException {
        return new CallerServer(context, host, port);
    }

    /**
     * Gets the port.
     *
     * @return the TCP port on which callers are served
     */
    public int getPort() {
        return listener.getPort();
    }

    /**
     * Gets the number of requests that were accepted and whose responses are not complete.
     *
     * @return the number of requests
     */
    public int getActiveRequestCount() {
        return shutdown.getActiveCount();
    }

    /**
     * Returns whether the node is shutting down.
     *
     * @return true after {@link #startShutdown}
     */
    public boolean isShuttingDown() {
        return shutdown.isShuttingDown();
    }

    /**
     * Removes this node from the responses of {@code /v1/addresses} and reports it as not ready. Requests are still
     * served.
     */
    public void startShutdown() {
        shutdown.start();
    }

    /**
     * Waits until no request is active.
     *
     * @return completes when all accepted requests have ended
     */
    public CompletionStage<Void> awaitIdle() {
        return awaitCondition(() -> shutdown.getActiveCount() == 0);
    }

    /**
     * Waits, after {@link #startShutdown}, until the cached addresses of this node have expired at all callers and all
     * accepted requests have ended.
     *
     * @return completes when the node may exit
     */
    public CompletionStage<Void> awaitShutdown() {
        return awaitCondition(() -> shutdown.isComplete(getAddressLifetimeSeconds()));
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    private long getAddressLifetimeSeconds() {
        Configuration configuration = context.configuration().get();
        return configuration.version() == 0 ? 0 : configuration.limits().addressLifetimeSeconds();
    }

    private CompletionStage<Void> awaitCondition(BooleanSupplier condition) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        pollCondition(condition, done);
        return done;
    }

    private void pollCondition(BooleanSupplier condition, CompletableFuture<Void> done) {
        if (condition.getAsBoolean()) {
            done.complete(null);
        } else {
            context.timers()
                    .schedule(() -> pollCondition(condition, done), POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Handles the requests that need no authentication. */
    private void handleLocalPath(CallerExchange exchange, Consumer<CallerExchange> next) {
        String path = exchange.getMethod().equals("GET") ? exchange.getPath() : "";
        switch (path) {
            case "/v1/addresses":
                requireConfiguration(exchange, addresses::handle);
                break;
            case "/healthz":
                exchange.send(200, JSON_HEADERS, Json.write(Json.object().put("status", "ok")));
                break;
            case "/readyz":
                sendReadiness(exchange);
                break;
            case "/metrics":
                sendMetrics(exchange);
                break;
            default:
                next.accept(exchange);
                break;
        }
    }

    /**
     * Refuses requests while the node has no configuration. A request with an idempotency key may have been executed
     * before, which this node cannot know, so it is not reported as not run.
     */
    private static void requireConfiguration(CallerExchange exchange, Consumer<CallerExchange> next) {
        if (exchange.getConfiguration().version() > 0) {
            next.accept(exchange);
            return;
        }
        String message = "the node has no configuration yet";
        Fault fault = exchange.findHeader("idempotency-key").isPresent()
                ? Fault.unknownOutcome(
                        FaultKind.UNAVAILABLE,
                        message,
                        "repeat the request with the same key at another address, or here after the stated time")
                : Fault.notRun(
                        FaultKind.UNAVAILABLE,
                        message,
                        "send the request to another address, or here after the stated time");
        exchange.refuse(fault.withRetryAfterMillis(NO_CONFIGURATION_RETRY_AFTER_MILLIS));
    }

    private void sendReadiness(CallerExchange exchange) {
        String status = shutdown.isShuttingDown()
                ? "leaving"
                : exchange.getConfiguration().version() == 0 ? "no configuration" : "ready";
        exchange.send(
                status.equals("ready") ? 200 : 503,
                JSON_HEADERS,
                Json.write(Json.object().put("status", status)));
    }

    private void sendMetrics(CallerExchange exchange) {
        if (exchange.findHeader("accept").orElse("").contains("application/json")) {
            exchange.send(200, JSON_HEADERS, MetricsBody.toJson(context.metrics()));
        } else {
            exchange.send(
                    200, Map.of("Content-Type", "text/plain; charset=utf-8"), MetricsBody.toText(context.metrics()));
        }
    }

    private static String newRequestId() {
        byte[] bytes = new byte[16];
        ThreadLocalRandom.current().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Receives requests from Grizzly. */
    private final class RequestHandler extends HttpHandler {
        @Override
        public void service(Request request, Response response) {
            shutdown.beginRequest();
            long start = System.nanoTime();
            Connection<?> connection = request.getRequest().getConnection();
            CallerExchange exchange = new CallerExchange(
                    new RequestDecisions(context.decisions(), newRequestId()),
                    request,
                    response,
                    context.configuration().get(),
                    status -> recordResponse(connection, start, status));
            exchange.suspend();
            try {
                filters.accept(exchange);
            } catch (RuntimeException e) {
                System.getLogger(CallerServer.class.getName())
                        .log(System.Logger.Level.ERROR, "request " + exchange.getId() + " failed in the node", e);
                exchange.fail(Fault.unknownOutcome(
                        FaultKind.INTERNAL,
                        "the node failed because of an internal error",
                        "report the request id to the operators"));
            }
        }

        private void recordResponse(Connection<?> connection, long startNanos, int status) {
            context.metrics().counter("responses." + status).inc();
            context.metrics().timer("requests.duration").update(System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
            endRequestWhenWritten(connection);
        }

        /** Counts a request as active until its last byte was written, so that a shutdown truncates no response. */
        private void endRequestWhenWritten(Connection<?> connection) {
            boolean written = !(connection instanceof NIOConnection nio)
                    || !nio.isOpen()
                    || nio.getAsyncWriteQueue().isEmpty();
            if (written) {
                shutdown.endRequest();
            } else {
                context.timers()
                        .schedule(() -> endRequestWhenWritten(connection), POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }
}
