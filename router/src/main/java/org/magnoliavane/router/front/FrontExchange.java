package org.magnoliavane.router.front;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.magnoliavane.Fault;
import org.magnoliavane.http.server.OneRequestFilter;
import org.magnoliavane.http.server.StreamWriter;
import org.magnoliavane.json.Json;
import org.magnoliavane.router.dispatch.CallerRequest;
import org.magnoliavane.router.dispatch.CallerResponse;
import org.magnoliavane.router.dispatch.RequestMetadata;
import org.magnoliavane.router.dispatch.WireFormat;
import org.magnoliavane.routing.Route;
import org.magnoliavane.routing.RoutingTable;

/**
 * One request of a caller and its answer. The connection serves one request: it is read from while the request is in work,
 * so that a caller that leaves is noticed at once.
 *
 * <p>Thread-safe.
 */
final class FrontExchange implements CallerResponse {
    private static final System.Logger LOG = System.getLogger(FrontExchange.class.getName());
    private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");
    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Part of a caller's patience that is left for the way of the answer to the caller. */
    private static final long ANSWER_LEAD_MILLIS = 30;

    /** A caller that takes less of its stream than this behind the worker is cut off. */
    private static final int STREAM_BUFFER_BYTES = 1 << 20;

    private final Request request;
    private final Response response;
    private final Connection<?> connection;
    private final WireFormat wire;
    private final Map<String, String> headers;
    private final RequestMetadata head;
    private final long arrivalMillis;
    private final Runnable onComplete;
    private final AtomicBoolean begun = new AtomicBoolean();
    private final AtomicBoolean completed = new AtomicBoolean();
    private final AtomicBoolean gone = new AtomicBoolean();
    private final AtomicReference<Runnable> onGone = new AtomicReference<>(() -> {});
    private final CloseListener<Closeable, ?> closeListener = (closeable, type) -> callerGone();
    private volatile RoutingTable routing;
    private volatile Route route;
    private volatile byte[] body = new byte[0];

    FrontExchange(Request request, Response response, WireFormat wire, long arrivalMillis, Runnable onComplete) {
        this.request = request;
        this.response = response;
        this.connection = request.getRequest().getConnection();
        this.wire = wire;
        this.headers = headersOf(request);
        this.head = wire.readMetadata(headers);
        this.arrivalMillis = arrivalMillis;
        this.onComplete = onComplete;
    }

    void suspend() {
        connection.addCloseListener(closeListener);
        response.suspend();
    }

    /** Reads on, so that a close is noticed; called once the whole request has been read. */
    void watchConnection() {
        try {
            OneRequestFilter.startReading(connection);
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "event=watch_failed request={0} reason=\"{1}\"", head.attemptId(), e.getMessage());
            callerGone();
        }
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

    RequestMetadata getHead() {
        return head;
    }

    void setRoute(RoutingTable table, Route found) {
        routing = table;
        route = found;
    }

    RoutingTable getRouting() {
        return routing;
    }

    Route getRoute() {
        return route;
    }

    void setBody(byte[] received) {
        body = received;
    }

    /** Puts together what the dispatcher needs, once route and body are known. */
    CallerRequest toCall() {
        long patience = head.timeoutMillis().orElse(route.timeoutMillis()) - ANSWER_LEAD_MILLIS;
        long limitMillis = arrivalMillis + Math.min(patience, route.timeoutMillis());
        return new CallerRequest(
                getMethod(), getTarget(), headers, head, body, route, routing.getVersion(), arrivalMillis, limitMillis);
    }

    @Override
    public void send(int status, Map<String, String> sent, byte[] body) {
        if (!begun.compareAndSet(false, true)) {
            return;
        }
        startHead(status, sent);
        response.setContentLength(body.length);
        try {
            response.getNIOOutputStream().write(body);
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "event=unwritten request={0} reason=\"{1}\"", head.attemptId(), e.getMessage());
        }
        complete();
    }

    void answerJson(int status, byte[] body) {
        send(status, JSON_HEADERS, body);
    }

    @Override
    public Optional<StreamWriter> beginStream(int status, Map<String, String> sent) {
        if (!begun.compareAndSet(false, true)) {
            return Optional.empty();
        }
        startHead(status, sent);
        return Optional.of(
                new StreamWriter(response.getNIOOutputStream(), STREAM_BUFFER_BYTES, this::complete, this::callerGone));
    }

    @Override
    public void fail(Fault fault) {
        fault.retryAfterMillis()
                .ifPresent(m -> response.setHeader("Retry-After", String.valueOf(m / MILLIS_PER_SECOND)));
        answerJson(wire.toStatus(fault), Json.write(FaultBody.toJson(fault, "")));
    }

    @Override
    public void abort() {
        begun.set(true);
        // The response is resumed once the connection is closed; before, that would write a regular end.
        connection.terminateSilently();
    }

    @Override
    public void onDisconnect(Runnable task) {
        onGone.set(task);
        if (gone.get()) {
            task.run();
        }
    }

    private void startHead(int status, Map<String, String> sent) {
        response.setStatus(status);
        sent.forEach(response::setHeader);
        response.setHeader("Connection", "close");
    }

    private void complete() {
        if (completed.compareAndSet(false, true)) {
            connection.removeCloseListener(closeListener);
            response.resume();
            onComplete.run();
        }
    }

    private void callerGone() {
        if (connection.isOpen()) {
            connection.terminateSilently();
            return;
        }
        if (!completed.get() && gone.compareAndSet(false, true)) {
            onGone.get().run();
            begun.set(true);
            complete();
        }
    }

    private static Map<String, String> headersOf(Request request) {
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
