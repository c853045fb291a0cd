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
import java.util.function.Consumer;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.http.Failures;
import org.magnoliavane.http.server.SingleRequestFilter;
import org.magnoliavane.http.server.StreamWriter;
import org.magnoliavane.json.Json;
import org.magnoliavane.router.dispatch.CallerRequest;
import org.magnoliavane.router.dispatch.CallerResponse;
import org.magnoliavane.router.dispatch.RequestMetadata;
import org.magnoliavane.router.dispatch.WireFormat;
import org.magnoliavane.routing.ApiKeyDigest;
import org.magnoliavane.routing.Organisation;
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

    /** Retry delay for callers of a request that expired before it was sent to a worker. */
    private static final long EXPIRED_RETRY_MILLIS = 700;

    /** Maximum time for receiving a body, also when the caller states a longer timeout. */
    static final long MAX_BODY_WAIT_MILLIS = 30_000;

    /** Time for which a caller may read nothing of a complete response if the configuration is not known. */
    private static final long DEFAULT_IDLE_MILLIS = 15_000;

    /**
     * Maximum number of bytes of a stream that the caller has not read yet. The connection of a slower caller is
     * closed.
     */
    private static final int STREAM_BUFFER_BYTES = 1 << 20;

    private static final String AUTHORIZATION = "authorization";

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
    private volatile Optional<String> keyDigest = Optional.empty();
    private volatile Optional<Organisation> organisation = Optional.empty();
    private volatile byte[] body = new byte[0];
    private volatile Optional<StreamWriter> stream = Optional.empty();

    /** The part of the router that handles the request, for the log. */
    private volatile String stage = "arrival";

    private volatile long limitMillis;
    private volatile long idleLimitMillis = DEFAULT_IDLE_MILLIS;
    private final AtomicReference<Sending> sending = new AtomicReference<>(Sending.NOT_STARTED);
    private final AtomicBoolean expired = new AtomicBoolean();
    private final AtomicReference<Runnable> notRunTask = new AtomicReference<>(() -> {});
    private volatile boolean sent;
    private volatile boolean refusedAsNotRun;

    /** Whether the request has been sent to a worker. */
    private enum Sending {
        NOT_STARTED,
        STARTED,
        /** The request has expired and must not be sent any more. */
        WITHDRAWN
    }

    FrontendExchange(
            Request request,
            Response response,
            WireFormat wire,
            long arrivalMillis,
            Consumer<FrontendExchange> onComplete) {
        this.request = request;
        this.response = response;
        this.connection = request.getRequest().getConnection();
        this.wire = wire;
        this.headers = readHeaders(request);
        this.metadata = wire.readMetadata(headers);
        this.arrivalMillis = arrivalMillis;
        this.completionTasks.add(() -> onComplete.accept(this));
        this.limitMillis =
                arrivalMillis + Math.min(metadata.timeoutMillis().orElse(MAX_BODY_WAIT_MILLIS), MAX_BODY_WAIT_MILLIS);
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

    /** Gets the query of the target; empty if it has none. */
    String getQuery() {
        return Optional.ofNullable(request.getRequest().getQueryString()).orElse("");
    }

    RequestMetadata getMetadata() {
        return metadata;
    }

    void setRoute(RoutingTable table, Route found) {
        routingTable = table;
        route = found;
        limitMillis = getDeadlineMillis();
        idleLimitMillis = table.getLimits().idleTimeoutMillis();
    }

    void setOrganisation(Organisation found) {
        organisation = Optional.of(found);
    }

    /**
     * Takes the API key of the request from its headers, so that no worker gets it.
     *
     * @return the digest of the key; empty if the request has none
     */
    Optional<String> takeApiKeyDigest() {
        String authorization = headers.remove(AUTHORIZATION);
        if (authorization != null) {
            keyDigest = ApiKeyDigest.ofAuthorization(authorization);
        }
        return keyDigest;
    }

    /** Gets the organisation of the caller; empty if the request is anonymous. */
    Optional<Organisation> getOrganisation() {
        return organisation;
    }

    /** Sets the part of the router that handles the request from now on. */
    void setStage(String reached) {
        stage = reached;
    }

    /** Gets the time at which the request must have been answered; that of the route once it is known. */
    long getLimitMillis() {
        return limitMillis;
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
        return arrivalMillis + metadata.getLimitMillis(route);
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
                getDeadlineMillis(),
                organisation,
                routingTable.getUrgency(organisation, route),
                routingTable.countUrgencies());
    }

    /**
     * Ends a request that has passed its limit: answers it if no response was started, closes the connection of a stream that
     * goes on, and ends what still runs for it. A complete stream that the caller has not read yet goes on, unless the caller
     * has stopped reading. Called again as long as the request is not complete.
     */
    void expire(long nowMillis) {
        Optional<StreamWriter> complete = stream.filter(StreamWriter::isEnding);
        if (complete.isPresent()) {
            closeUnlessRead(complete.get());
            return;
        }
        Sending before = sending.getAndSet(Sending.WITHDRAWN);
        if (!expired.compareAndSet(false, true)) {
            handleDisconnect();
            return;
        }
        boolean begun = responseStarted.get();
        LOG.log(
                Level.WARNING,
                "event=guard_answered request={0} stage={1} sent={2} begun={3} age_millis={4}",
                metadata.attemptId(),
                stage,
                before,
                begun,
                Long.toString(nowMillis - arrivalMillis));
        try {
            if (!begun) {
                fail(toExpiryFault(before));
            } else if (stream.isPresent()) {
                handleDisconnect();
            }
        } finally {
            onDisconnect.get().run();
        }
    }

    private void closeUnlessRead(StreamWriter complete) {
        if (complete.getStalledMillis() <= idleLimitMillis) {
            return;
        }
        LOG.log(
                Level.INFO,
                "event=unread request={0} stalled_millis={1}",
                metadata.attemptId(),
                Long.toString(complete.getStalledMillis()));
        handleDisconnect();
    }

    private Fault toExpiryFault(Sending before) {
        return before == Sending.NOT_STARTED
                ? Fault.notRun(
                                FaultKind.UNAVAILABLE,
                                "the request could not be sent to a worker in time",
                                "send the request again after the stated time")
                        .withRetryAfterMillis(EXPIRED_RETRY_MILLIS)
                : Fault.unknownOutcome(
                        FaultKind.DEADLINE_EXCEEDED,
                        "no response in time",
                        "find out whether the work was done before sending it again");
    }

    /** Returns whether the request has ended at its limit. */
    @Override
    public boolean isExpired() {
        return expired.get();
    }

    @Override
    public boolean permitSending() {
        boolean permitted =
                sending.updateAndGet(s -> s == Sending.NOT_STARTED ? Sending.STARTED : s) == Sending.STARTED;
        if (permitted) {
            sent = true;
        }
        return permitted;
    }

    /**
     * Sets the task that runs once if the request ends without having run: before the response that states so, or when the caller
     * leaves before it was sent to a worker.
     */
    void onNotRun(Runnable task) {
        notRunTask.set(task);
        onComplete(() -> {
            if (!sent || refusedAsNotRun) {
                runNotRunTask();
            }
        });
    }

    private void runNotRunTask() {
        try {
            notRunTask.getAndSet(() -> {}).run();
        } catch (RuntimeException | Error e) {
            Failures.recordSurvived("not_run", e);
        }
    }

    @Override
    public boolean withdrawUnsent() {
        return sending.updateAndGet(s -> s == Sending.NOT_STARTED ? Sending.WITHDRAWN : s) == Sending.WITHDRAWN;
    }

    /** Answers a request that ended by an internal failure, unless a response was started. */
    void failInternally() {
        fail(Fault.internal(sending.getAndSet(Sending.WITHDRAWN) != Sending.NOT_STARTED));
    }

    @Override
    public void send(int status, Map<String, String> responseHeaders, byte[] responseBody) {
        if (completed.get() || !responseStarted.compareAndSet(false, true)) {
            return;
        }
        try {
            startHead(status, responseHeaders);
            response.setContentLength(responseBody.length);
            response.getNIOOutputStream().write(responseBody);
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "event=unwritten request={0} reason=\"{1}\"", metadata.attemptId(), e.getMessage());
        } catch (RuntimeException | Error e) {
            withdrawHead();
            throw e;
        }
        complete();
    }

    /** Permits another response after one whose head failed, or closes the connection if a part of it was written. */
    private void withdrawHead() {
        if (completed.get()) {
            return;
        }
        if (response.isCommitted()) {
            abort();
            return;
        }
        response.reset();
        responseStarted.set(false);
    }

    void sendJson(int status, byte[] body) {
        send(status, JSON_HEADERS, body);
    }

    @Override
    public Optional<StreamWriter> beginStream(int status, Map<String, String> responseHeaders) {
        if (completed.get() || !responseStarted.compareAndSet(false, true)) {
            return Optional.empty();
        }
        try {
            startHead(status, responseHeaders);
            stream = Optional.of(new StreamWriter(
                    connection,
                    response.getNIOOutputStream(),
                    STREAM_BUFFER_BYTES,
                    this::complete,
                    this::handleDisconnect));
            return stream;
        } catch (RuntimeException | Error e) {
            withdrawHead();
            throw e;
        }
    }

    @Override
    public void fail(Fault fault) {
        if (fault.ran() == ExecutionStatus.NO && !responseStarted.get()) {
            refusedAsNotRun = true;
            runNotRunTask();
        }
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
    public void abortUnfinishedStream() {
        if (!completed.get() && stream.filter(w -> !w.isEnding()).isPresent()) {
            abort();
        }
    }

    @Override
    public void onDisconnect(Runnable task) {
        onDisconnect.set(task);
        if (disconnected.get() || expired.get()) {
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
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                Failures.recordSurvived("completion", e);
            }
            task = completionTasks.poll();
        }
    }

    private void complete() {
        if (completed.compareAndSet(false, true)) {
            try {
                connection.removeCloseListener(closeListener);
                response.resume();
            } catch (RuntimeException | Error e) {
                Failures.recordSurvived("resume", e);
                connection.terminateSilently();
            } finally {
                runCompletionTasks();
            }
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
            try {
                onDisconnect.get().run();
            } finally {
                runCompletionTasks();
            }
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
