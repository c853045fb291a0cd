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
import org.magnoliavane.http.server.OneRequestFilter;
import org.magnoliavane.json.Json;
import org.magnoliavane.node.decision.RequestDecisions;
import org.magnoliavane.router.front.MetricsBody;

/**
 * Serves callers. Each request passes the filters identify, route, read body, and then its endpoint; no thread waits
 * for an answer.
 *
 * <p>Thread-safe.
 */
public final class CallerServer implements AutoCloseable {
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_HEADERS = 64;
    private static final long IDLE_CHECK_MILLIS = 50;
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 500;
    private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");

    private final CallerContext parts;
    private final HttpServer server;
    private final NetworkListener listener;
    private final GracefulShutdown departure = new GracefulShutdown();
    private final AddressesEndpoint addresses;
    private final Consumer<CallerExchange> filters;

    private CallerServer(CallerContext parts, String host, int port) throws IOException {
        this.parts = parts;
        this.addresses = new AddressesEndpoint(parts, departure);
        ChatEndpoint chat = new ChatEndpoint(parts);
        PlainEndpoint plain = new PlainEndpoint(parts.keyed(), parts.plain());
        this.filters = RequestFilter.chain(
                List.of(
                        this::answerLocal,
                        CallerServer::requireConfiguration,
                        new IdentifyFilter(),
                        new RouteFilter(chat, plain),
                        new ReadBodyFilter(parts.timers())),
                exchange -> exchange.getTarget().accept(exchange));
        this.server = new HttpServer();
        this.listener = new NetworkListener("callers", host, port);
        listener.setMaxHttpHeaderSize(MAX_HEADER_BYTES);
        listener.setMaxRequestHeaders(MAX_HEADERS);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        NoUpgradeFilter.addTo(listener);
        OneRequestFilter.addTo(listener);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new Entry(), "/");
        parts.metrics().register("requests.active", (Gauge<Integer>) departure::getActive);
        server.start();
    }

    /**
     * Starts to serve.
     *
     * @param parts what the server uses
     * @param host the IP address to listen on
     * @param port the TCP port to listen on; 0 selects a free one
     * @return the server
     * @throws IOException when it cannot listen
     */
    public static CallerServer open(CallerContext parts, String host, int port) throws IOException {
        return new CallerServer(parts, host, port);
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
     * Counts the requests that were accepted and not answered yet.
     *
     * @return the number of requests
     */
    public int countActive() {
        return departure.getActive();
    }

    /**
     * Says whether the node is leaving.
     *
     * @return true after {@link #startLeaving}
     */
    public boolean isLeaving() {
        return departure.isLeaving();
    }

    /** Takes this node out of the address answers and makes it report that it is not ready. It serves on. */
    public void startLeaving() {
        departure.start();
    }

    /**
     * Waits until no request is in work.
     *
     * @return completes when everything that was accepted is answered
     */
    public CompletionStage<Void> awaitIdle() {
        return await(() -> departure.getActive() == 0);
    }

    /**
     * Waits, after {@link #startLeaving}, until callers can no longer hold an address of this node and everything that
     * was accepted is answered.
     *
     * @return completes when the node may exit
     */
    public CompletionStage<Void> awaitDeparture() {
        return await(() -> departure.isComplete(getAddressLifetimeSeconds()));
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    private long getAddressLifetimeSeconds() {
        Configuration configuration = parts.configuration().get();
        return configuration.version() == 0 ? 0 : configuration.limits().addressLifetimeSeconds();
    }

    private CompletionStage<Void> await(BooleanSupplier condition) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        check(condition, done);
        return done;
    }

    private void check(BooleanSupplier condition, CompletableFuture<Void> done) {
        if (condition.getAsBoolean()) {
            done.complete(null);
        } else {
            parts.timers().schedule(() -> check(condition, done), IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Answers the requests that need no identified caller. */
    private void answerLocal(CallerExchange exchange, Consumer<CallerExchange> next) {
        String path = exchange.getMethod().equals("GET") ? exchange.getPath() : "";
        switch (path) {
            case "/v1/addresses":
                requireConfiguration(exchange, addresses::answer);
                break;
            case "/healthz":
                exchange.answer(200, JSON_HEADERS, Json.write(Json.object().put("status", "ok")));
                break;
            case "/readyz":
                answerReady(exchange);
                break;
            case "/metrics":
                answerMetrics(exchange);
                break;
            default:
                next.accept(exchange);
                break;
        }
    }

    /**
     * Refuses requests while the node knows no configuration. A keyed request may have run at an earlier call, which
     * this node cannot know, so that the caller must not take it for not run.
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
        exchange.refuse(fault.withRetryAfterMillis(NO_CONFIGURATION_RETRY_MILLIS));
    }

    private void answerReady(CallerExchange exchange) {
        String status = departure.isLeaving()
                ? "leaving"
                : exchange.getConfiguration().version() == 0 ? "no configuration" : "ready";
        exchange.answer(
                status.equals("ready") ? 200 : 503,
                JSON_HEADERS,
                Json.write(Json.object().put("status", status)));
    }

    private void answerMetrics(CallerExchange exchange) {
        if (exchange.findHeader("accept").orElse("").contains("application/json")) {
            exchange.answer(200, JSON_HEADERS, MetricsBody.toJson(parts.metrics()));
        } else {
            exchange.answer(
                    200, Map.of("Content-Type", "text/plain; charset=utf-8"), MetricsBody.toText(parts.metrics()));
        }
    }

    private static String newRequestId() {
        byte[] bytes = new byte[16];
        ThreadLocalRandom.current().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Takes requests from Grizzly. */
    private final class Entry extends HttpHandler {
        @Override
        public void service(Request request, Response response) {
            departure.enter();
            long start = System.nanoTime();
            Connection<?> connection = request.getRequest().getConnection();
            CallerExchange exchange = new CallerExchange(
                    new RequestDecisions(parts.decisions(), newRequestId()),
                    request,
                    response,
                    parts.configuration().get(),
                    status -> account(connection, start, status));
            exchange.suspend();
            try {
                filters.accept(exchange);
            } catch (RuntimeException e) {
                System.getLogger(CallerServer.class.getName())
                        .log(System.Logger.Level.ERROR, "request " + exchange.getId() + " failed in the node", e);
                exchange.fail(Fault.unknownOutcome(
                        FaultKind.INTERNAL, "the node has a fault of its own", "tell the operators the request id"));
            }
        }

        private void account(Connection<?> connection, long startNanos, int status) {
            parts.metrics().counter("responses." + status).inc();
            parts.metrics().timer("requests.duration").update(System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
            exitWhenWritten(connection);
        }

        /** Counts a request as active until its last byte has left, so that an exit cuts no response off. */
        private void exitWhenWritten(Connection<?> connection) {
            boolean written = !(connection instanceof NIOConnection nio)
                    || !nio.isOpen()
                    || nio.getAsyncWriteQueue().isEmpty();
            if (written) {
                departure.exit();
            } else {
                parts.timers().schedule(() -> exitWhenWritten(connection), IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }
}
