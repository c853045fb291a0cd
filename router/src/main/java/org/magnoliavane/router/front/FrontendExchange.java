package org.magnoliavane.router.front;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.magnoliavane.Fault;
import org.magnoliavane.http.server.SingleRequestFilter;
import org.magnoliavane.http.server.StreamWriter;
import org.magnoliavane.json.Json;
import org.magnoliavane.router.dispatch.CallerRequest;
import org.magnoliavane.router.dispatch.CallerResponse;
import org.magnoliavane.router.dispatch.RequestMetadata;
import org.magnoliavane.router.dispatch.WireFormat;
import org.magnoliavane.routing.Route;
import org.magnoliavane.routing.RoutingTable;

/**
 * A request of a caller and its response. A connection serves one request. Reading continues while the request is
 * active, so that a caller that disconnects is detected at once.
 *
 * <p>Thread-safe.
 */
final class FrontendExchange implements CallerResponse {
    private static final System.Logger LOG = System.getLogger(FrontendExchange.class.getName());
    private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");
    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Part of a caller's timeout that is reserved for the transfer of the response to the caller. */
    private static final long RESPONSE_MARGIN_MILLIS = 30;

    /**
     * Maximum number of bytes of a stream that the caller has not read yet. The connection of a slower caller is
     * closed.
     */
    private static final int STREAM_BUFFER_BYTES = 1 << 20;

    private final Request request;
    private final Response response;
    private final Connection<?> connection;
    private final WireFormat wire;
    private final Map<String, String> headers;
    private final RequestMetadata metadata;
    private final long arrivalMillis;
    private final Queue<Runnable> completionTasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean responseStarted = new AtomicBoolean();
    private final AtomicBoolean completed = new AtomicBoolean();
    private final AtomicBoolean disconnected = new AtomicBoolean();
    private final AtomicReference<Runnable> onDisconnect = new AtomicReference<>(() -> {});
    private final CloseListener<Closeable, ?> closeListener = (closeable, type) -> handleDisconnect();
    private volatile RoutingTable routingTable;
    private volatile Route route;
    private volatile byte[] body = new byte[0];

    FrontendExchange(Request request, Response response, WireFormat wire, long arrivalMillis, Runnable onComplete) {
        this.request = request;
        this.response = response;
        this.connection = request.getRequest().getConnection();
        this.wire = wire;
        this.headers = readHeaders(request);
        this.metadata = wire.readMetadata(headers);
        this.arrivalMillis = arrivalMillis;
        this.completionTasks.add(onComplete);
    }

    void suspend() {
        connection.addCloseListener(closeListener);
        response.suspend();
    }

    /**
     * Continues to read so that a close of the connection is detected. Must be called once the whole request has been
     * read.
     */
    void watchConnection() {
        try {
            if (!SingleRequestFilter.startReading(connection)) {
                handleDisconnect();
            }
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "event=watch_failed request={0} reason=\"{1}\"", metadata.attemptId(), e.getMessage());
            handleDisconnect();
        }
    }

    /** Returns whether the caller has closed the connection before its response was complete. */
    boolean isDisconnected() {
        return disconnected.get();
    }

    Request getRequest() {
        return request;
    }

    String getMethod() {
        return request.getMethod().getMethodString();
    }

    String getHost() {
        return headers.getOrDefault("host", "");
    }

    String getPath() {
        return request.getRequest().getRequestURIRef().getOriginalRequestURIBC().toString();
    }

    String getTarget() {
        String query = request.getRequest().getQueryString();
        return query == null || query.isEmpty() ? getPath() : getPath() + "?" + query;
    }

    RequestMetadata getMetadata() {
        return metadata;
    }

    void setRoute(RoutingTable table, Route found) {
        routingTable = table;
        route = found;
    }

    RoutingTable getRoutingTable() {
        return routingTable;
    }

    Route getRoute() {
        return route;
    }

    void setBody(byte[] received) {
        body = received;
    }

    /** Gets the time at which the request must be answered. The route must have been set. */
    long getDeadlineMillis() {
        long timeoutMillis = metadata.timeoutMillis().orElse(route.timeoutMillis()) - RESPONSE_MARGIN_MILLIS;
        return arrivalMillis + Math.min(timeoutMillis, route.timeoutMillis());
    }

    /** Creates the input of the dispatcher. The route and the body must have been set. */
    CallerRequest createCallerRequest() {
        return new CallerRequest(
                getMethod(),
                getTarget(),
                headers,
                metadata,
                body,
                route,
                routingTable.getVersion(),
                arrivalMillis,
                getDeadlineMillis());
    }

    @Override
    public void send(int status, Map<String, String> responseHeaders, byte[] responseBody) {
        if (!responseStarted.compareAndSet(false, true)) {
            return;
        }
        startHead(status, responseHeaders);
        response.setContentLength(responseBody.length);
        try {
            response.getNIOOutputStream().write(responseBody);
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "event=unwritten request={0} reason=\"{1}\"", metadata.attemptId(), e.getMessage());
        }
        complete();
    }

    void sendJson(int status, byte[] body) {
        send(status, JSON_HEADERS, body);
    }

    @Override
    public Optional<StreamWriter> beginStream(int status, Map<String, String> responseHeaders) {
        if (!responseStarted.compareAndSet(false, true)) {
            return Optional.empty();
        }
        startHead(status, responseHeaders);
        return Optional.of(new StreamWriter(
                response.getNIOOutputStream(), STREAM_BUFFER_BYTES, this::complete, this::handleDisconnect));
    }

    @Override
    public void fail(Fault fault) {
        Map<String, String> failureHeaders = new HashMap<>(JSON_HEADERS);
        fault.retryAfterMillis()
                .ifPresent(m -> failureHeaders.put("Retry-After", String.valueOf(m / MILLIS_PER_SECOND)));
        send(wire.toStatus(fault), failureHeaders, Json.write(FaultBody.toJson(fault, "")));
    }

    @Override
    public void abort() {
        responseStarted.set(true);
        // The response is not resumed, because that would write a regular end of the stream.
        connection.terminateSilently();
    }

    @Override
    public void onDisconnect(Runnable task) {
        onDisconnect.set(task);
        if (disconnected.get()) {
            task.run();
        }
    }

    private void startHead(int status, Map<String, String> responseHeaders) {
        response.setStatus(status);
        responseHeaders.forEach(response::setHeader);
        response.setHeader("Connection", "close");
    }

    @Override
    public void onComplete(Runnable task) {
        completionTasks.add(task);
        if (completed.get()) {
            runCompletionTasks();
        }
    }

    private void runCompletionTasks() {
        Runnable task = completionTasks.poll();
        while (task != null) {
            task.run();
            task = completionTasks.poll();
        }
    }

    private void complete() {
        if (completed.compareAndSet(false, true)) {
            connection.removeCloseListener(closeListener);
            response.resume();
            runCompletionTasks();
        }
    }

    /**
     * Completes the exchange without resuming the response: the server would reuse it for another request while a
     * thread may still be writing to it. The server cancels a suspended response when its connection is closed.
     */
    private void handleDisconnect() {
        if (connection.isOpen()) {
            connection.terminateSilently();
        }
        if (completed.compareAndSet(false, true)) {
            disconnected.set(true);
            responseStarted.set(true);
            onDisconnect.get().run();
            runCompletionTasks();
        }
    }

    private static Map<String, String> readHeaders(Request request) {
        Map<String, String> headers = new HashMap<>();
        for (String name : request.getHeaderNames()) {
            StringBuilder value = new StringBuilder();
            for (String part : request.getHeaders(name)) {
                value.append(value.isEmpty() ? "" : ", ").append(part);
            }
            headers.put(name.toLowerCase(Locale.ROOT), value.toString());
        }
        return headers;
    }
}
