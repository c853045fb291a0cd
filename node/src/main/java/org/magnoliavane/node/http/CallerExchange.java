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
import org.magnoliavane.http.server.OneRequestFilter;
import org.magnoliavane.http.server.StreamWriter;
import org.magnoliavane.json.Json;
import org.magnoliavane.node.decision.RequestDecisions;
import org.magnoliavane.router.front.FaultBody;

/**
 * Holds one request of a caller on its way through the filters, and its response.
 *
 * <p>Filters set the fields one after the other; the methods that answer are thread-safe.
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
    private final IntConsumer onAnswered;
    private final long arrivalNanos = System.nanoTime();
    private final AtomicBoolean answered = new AtomicBoolean();
    private final AtomicReference<Runnable> onGone = new AtomicReference<>(() -> {});
    private final AtomicBoolean gone = new AtomicBoolean();
    private final CloseListener<Closeable, ?> closeListener = (closeable, type) -> callerGone();
    private volatile boolean watched;
    private volatile String shownId;
    private volatile Caller caller;
    private volatile Consumer<CallerExchange> target;
    private volatile byte[] body = new byte[0];

    CallerExchange(
            RequestDecisions decisions,
            Request request,
            Response response,
            Configuration configuration,
            IntConsumer onAnswered) {
        this.decisions = decisions;
        this.id = decisions.request();
        this.shownId = id;
        this.request = request;
        this.response = response;
        this.connection = request.getRequest().getConnection();
        this.method = request.getMethod().getMethodString();
        this.path = request.getRequestURI();
        this.query = request.getQueryString() == null ? "" : request.getQueryString();
        this.headers = headersOf(request);
        this.configuration = configuration;
        this.onAnswered = onAnswered;
    }

    /** Suspends the response until the exchange is answered. */
    void suspend() {
        connection.addCloseListener(closeListener);
        response.suspend();
    }

    /** Watches for the close of the connection while the request is in work; it then serves no further request. */
    void watchConnection() {
        try {
            watched = true;
            OneRequestFilter.startReading(connection);
        } catch (IOException e) {
            callerGone();
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

    /** Gets the headers by lower-case name. They are copied, because the request object is reused once answered. */
    Map<String, String> getHeaders() {
        return headers;
    }

    Optional<String> findHeader(String name) {
        return Optional.ofNullable(headers.get(name)).map(String::trim).filter(v -> !v.isEmpty());
    }

    boolean isGone() {
        return gone.get();
    }

    void setTarget(Consumer<CallerExchange> chosen) {
        target = chosen;
    }

    Consumer<CallerExchange> getTarget() {
        return target;
    }

    void setCaller(Caller identified) {
        caller = identified;
    }

    void setBody(byte[] received) {
        body = received;
    }

    /** Sets the id that the caller sees, when the request continues an earlier one. */
    void setShownId(String earlier) {
        shownId = earlier;
    }

    /** Sets what runs when the caller's connection closes before the answer is complete. */
    void setOnGone(Runnable task) {
        onGone.set(task);
        if (gone.get()) {
            task.run();
        }
    }

    /** Refuses the request before it is dispatched. */
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
        cause.retryAfterMillis()
                .ifPresent(m -> response.setHeader("Retry-After", Long.toString(FaultBody.toRetryAfterSeconds(m))));
        answer(
                cause.kind().getHttpStatus(),
                Map.of("Content-Type", "application/json"),
                Json.write(FaultBody.toJson(cause, fault.param())));
    }

    void fail(Fault fault) {
        fail(ParamFault.of(fault));
    }

    /** Refuses and closes the connection, because the rest of the body is not read. */
    void refuseAndClose(Fault fault) {
        response.setHeader("Connection", "close");
        refuse(fault);
    }

    /** Sends a whole response. */
    void answer(int status, Map<String, String> sent, byte[] bytes) {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        startHead(status, sent);
        response.setContentLength(bytes.length);
        try {
            response.getNIOOutputStream().write(bytes);
        } catch (IOException e) {
            LOGGER.log(Level.DEBUG, "the response to request {0} could not be written: {1}", id, e.getMessage());
        }
        complete(status);
    }

    /** Starts a streamed response; empty when the exchange has been answered already. */
    Optional<StreamWriter> startStream(Map<String, String> sent, int bufferBytes) {
        if (!answered.compareAndSet(false, true)) {
            return Optional.empty();
        }
        startHead(200, sent);
        return Optional.of(
                new StreamWriter(response.getNIOOutputStream(), bufferBytes, () -> complete(200), this::callerGone));
    }

    private void startHead(int status, Map<String, String> sent) {
        response.setStatus(status);
        sent.forEach(this::setHeader);
        response.setHeader(REQUEST_HEADER, shownId);
        if (watched) {
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
        onAnswered.accept(status);
    }

    private void callerGone() {
        if (!gone.compareAndSet(false, true)) {
            return;
        }
        connection.closeSilently();
        onGone.get().run();
        if (answered.compareAndSet(false, true)) {
            complete(499);
        }
    }

    private static Map<String, String> headersOf(Request request) {
        Map<String, String> headers = new HashMap<>();
        for (String name : request.getHeaderNames()) {
            headers.put(name.toLowerCase(Locale.ROOT), request.getHeader(name));
        }
        return headers;
    }
}
