package org.magnoliavane.node.http;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.magnoliavane.Fault;
import org.magnoliavane.config.Caller;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.http.server.SingleRequestFilter;
import org.magnoliavane.http.server.StreamWriter;
import org.magnoliavane.json.Json;
import org.magnoliavane.node.decision.RequestDecisions;
import org.magnoliavane.router.front.FaultBody;

/**
 * Holds one request of a caller while the filters process it, and sends its response.
 *
 * <p>The methods that send a response are thread-safe. Filters set the fields one after the other.
 */
final class CallerExchange {
    static final String REQUEST_HEADER = "Magnoliavane-Request";

    private static final System.Logger LOGGER = System.getLogger(CallerExchange.class.getName());

    private final String id;
    private final Request request;
    private final Response response;
    private final Connection<?> connection;
    private final String method;
    private final String path;
    private final String query;
    private final Map<String, String> headers;
    private final Configuration configuration;
    private final RequestDecisions decisions;
    private final IntConsumer onResponse;
    private final long arrivalNanos = System.nanoTime();
    private final AtomicBoolean responded = new AtomicBoolean();
    private final AtomicReference<Runnable> onDisconnect = new AtomicReference<>(() -> {});
    private final AtomicBoolean disconnected = new AtomicBoolean();
    private final CloseListener<Closeable, ?> closeListener = (closeable, type) -> handleDisconnect();
    private volatile boolean watchingConnection;
    private volatile String responseId;
    private volatile Caller caller;
    private volatile Consumer<CallerExchange> endpoint;
    private volatile byte[] body = new byte[0];

    CallerExchange(
            RequestDecisions decisions,
            Request request,
            Response response,
            Configuration configuration,
            IntConsumer onResponse) {
        this.decisions = decisions;
        this.id = decisions.request();
        this.responseId = id;
        this.request = request;
        this.response = response;
        this.connection = request.getRequest().getConnection();
        this.method = request.getMethod().getMethodString();
        this.path = request.getRequestURI();
        this.query = request.getQueryString() == null ? "" : request.getQueryString();
        this.headers = copyHeaders(request);
        this.configuration = configuration;
        this.onResponse = onResponse;
    }

    /** Suspends the response until it is sent by one of the methods of this class. */
    void suspend() {
        connection.addCloseListener(closeListener);
        response.suspend();
    }

    /** Starts to detect the close of the connection. The connection then serves no further request. */
    void watchConnection() {
        try {
            watchingConnection = true;
            if (!SingleRequestFilter.startReading(connection)) {
                handleDisconnect();
            }
        } catch (IOException e) {
            handleDisconnect();
        }
    }

    String getId() {
        return id;
    }

    Request getRequest() {
        return request;
    }

    RequestDecisions getDecisions() {
        return decisions;
    }

    Configuration getConfiguration() {
        return configuration;
    }

    long getArrivalNanos() {
        return arrivalNanos;
    }

    Caller getCaller() {
        return caller;
    }

    byte[] getBody() {
        return body;
    }

    String getMethod() {
        return method;
    }

    String getPath() {
        return path;
    }

    String getPathWithQuery() {
        return query.isEmpty() ? path : path + "?" + query;
    }

    Optional<String> findParameter(String name) {
        for (String part : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return Optional.of(part.substring(name.length() + 1));
            }
        }
        return Optional.empty();
    }

    /** Gets the headers by lower-case name. They are a copy, because the request object is reused after the response. */
    Map<String, String> getHeaders() {
        return headers;
    }

    Optional<String> findHeader(String name) {
        return Optional.ofNullable(headers.get(name)).map(String::trim).filter(v -> !v.isEmpty());
    }

    boolean isDisconnected() {
        return disconnected.get();
    }

    void setEndpoint(Consumer<CallerExchange> newEndpoint) {
        endpoint = newEndpoint;
    }

    Consumer<CallerExchange> getEndpoint() {
        return endpoint;
    }

    void setCaller(Caller newCaller) {
        caller = newCaller;
    }

    void setBody(byte[] received) {
        body = received;
    }

    /** Sets the request id of the response, for a request that continues an earlier one. */
    void setResponseId(String newResponseId) {
        responseId = newResponseId;
    }

    /** Sets the task to run when the connection of the caller closes before the response is complete. */
    void setOnDisconnect(Runnable task) {
        onDisconnect.set(task);
        if (disconnected.get()) {
            task.run();
        }
    }

    /** Refuses the request before it is dispatched, and records the reason. */
    void refuse(ParamFault fault) {
        decisions.record(
                "refuse",
                method + " " + path,
                fault.fault().kind().toWire(),
                fault.fault().message());
        fail(fault);
    }

    void refuse(Fault fault) {
        refuse(ParamFault.of(fault));
    }

    void fail(ParamFault fault) {
        Fault cause = fault.fault();
        // Set by send, because the response must not be modified once another thread has completed it.
        Map<String, String> faultHeaders = new HashMap<>(Map.of("Content-Type", "application/json"));
        cause.retryAfterMillis()
                .ifPresent(m -> faultHeaders.put("Retry-After", Long.toString(FaultBody.toRetryAfterSeconds(m))));
        send(cause.kind().getHttpStatus(), faultHeaders, Json.write(FaultBody.toJson(cause, fault.param())));
    }

    void fail(Fault fault) {
        fail(ParamFault.of(fault));
    }

    /** Refuses the request and closes the connection, because the rest of the body is not read. */
    void refuseAndClose(Fault fault) {
        response.setHeader("Connection", "close");
        refuse(fault);
    }

    /** Sends a complete response, unless a response has been started before. */
    void send(int status, Map<String, String> responseHeaders, byte[] bytes) {
        if (!responded.compareAndSet(false, true)) {
            return;
        }
        startResponse(status, responseHeaders);
        response.setContentLength(bytes.length);
        try {
            response.getNIOOutputStream().write(bytes);
        } catch (IOException e) {
            LOGGER.log(Level.DEBUG, "the response to request {0} could not be written: {1}", id, e.getMessage());
        }
        complete(status);
    }

    /**
     * Starts a streamed response.
     *
     * @param responseHeaders the headers of the response
     * @param bufferBytes the largest number of bytes to buffer
     * @return the writer, or empty when a response has been started before
     */
    Optional<StreamWriter> startStream(Map<String, String> responseHeaders, int bufferBytes) {
        if (!responded.compareAndSet(false, true)) {
            return Optional.empty();
        }
        startResponse(200, responseHeaders);
        return Optional.of(new StreamWriter(
                connection, response.getNIOOutputStream(), bufferBytes, () -> complete(200), this::handleDisconnect));
    }

    private void startResponse(int status, Map<String, String> responseHeaders) {
        response.setStatus(status);
        responseHeaders.forEach(this::setHeader);
        response.setHeader(REQUEST_HEADER, responseId);
        if (watchingConnection) {
            response.setHeader("Connection", "close");
        }
    }

    private void setHeader(String name, String value) {
        if (name.equalsIgnoreCase("Content-Type")) {
            response.setContentType(value);
        } else {
            response.setHeader(name, value);
        }
    }

    private void complete(int status) {
        connection.removeCloseListener(closeListener);
        response.resume();
        onResponse.accept(status);
    }

    private void handleDisconnect() {
        if (!disconnected.compareAndSet(false, true)) {
            return;
        }
        connection.closeSilently();
        onDisconnect.get().run();
        if (responded.compareAndSet(false, true)) {
            complete(499);
        }
    }

    private static Map<String, String> copyHeaders(Request request) {
        Map<String, String> headers = new HashMap<>();
        for (String name : request.getHeaderNames()) {
            headers.put(name.toLowerCase(Locale.ROOT), request.getHeader(name));
        }
        return headers;
    }
}
