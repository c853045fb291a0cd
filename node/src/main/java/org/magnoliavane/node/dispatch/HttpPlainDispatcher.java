package org.magnoliavane.node.dispatch;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.magnoliavane.BackendServer;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.config.Service;
import org.magnoliavane.http.Failures;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.membership.ClusterView;
import org.magnoliavane.node.decision.DecisionLog;
import org.magnoliavane.node.decision.RequestDecisions;
import org.magnoliavane.node.keyed.PlainDispatcher;
import org.magnoliavane.node.keyed.PlainRequest;
import org.magnoliavane.node.keyed.PlainResponse;

/**
 * Sends requests to the servers of plain services, each on a new connection. Of two servers selected at random, the one
 * with fewer outstanding requests of this node receives the request.
 *
 * <p>Thread-safe.
 */
public final class HttpPlainDispatcher implements PlainDispatcher {
    /** Largest number of servers to which one request is sent. */
    private static final int MAX_ATTEMPTS = 3;

    private static final long RETRY_AFTER_MILLIS = 1000;

    /** Response headers that are not forwarded: they concern one connection, or this node sets them itself. */
    private static final Set<String> EXCLUDED_HEADERS = Set.of(
            "connection", "content-length", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "date");

    private final HttpClient httpClient;
    private final Supplier<Configuration> configuration;
    private final Supplier<ClusterView> view;
    private final DecisionLog decisions;
    private final RetryBudget retryBudget = new RetryBudget();
    private final Map<String, AtomicInteger> outstandingByServer = new ConcurrentHashMap<>();

    private HttpPlainDispatcher(
            HttpClient httpClient,
            Supplier<Configuration> configuration,
            Supplier<ClusterView> view,
            DecisionLog decisions) {
        this.httpClient = httpClient;
        this.configuration = configuration;
        this.view = view;
        this.decisions = decisions;
    }

    /**
     * Creates a dispatcher.
     *
     * @param httpClient sends the requests
     * @param configuration provides the configuration in force
     * @param view provides the cluster view with the backend servers
     * @param decisions records the decisions
     * @return the dispatcher
     */
    public static HttpPlainDispatcher create(
            HttpClient httpClient,
            Supplier<Configuration> configuration,
            Supplier<ClusterView> view,
            DecisionLog decisions) {
        return new HttpPlainDispatcher(httpClient, configuration, view, decisions);
    }

    @Override
    public CompletionStage<Either<Fault, PlainResponse>> dispatch(PlainRequest plainRequest) {
        Configuration current = configuration.get();
        Service service = current.services().get(plainRequest.service());
        if (service == null) {
            return CompletableFuture.completedFuture(Either.left(toUnknownServiceFault(plainRequest)));
        }
        Optional<Fault> refusal = ServiceDependencies.findFault(service, current, view.get());
        if (refusal.isPresent()) {
            new RequestDecisions(decisions, plainRequest.id())
                    .record(
                            "refuse",
                            "dependencies " + service.dependsOn(),
                            refusal.get().kind().toWire(),
                            refusal.get().message());
            return CompletableFuture.completedFuture(Either.left(refusal.get()));
        }
        if (plainRequest.idempotent()) {
            retryBudget.addCredit(current.limits().retryBudgetPercent());
        }
        return new RequestExecution(plainRequest).tryNext();
    }

    private static Fault toUnknownServiceFault(PlainRequest plainRequest) {
        return Fault.notRun(
                FaultKind.NOT_FOUND,
                "service " + plainRequest.service() + " is not in the configuration in force",
                "use a route of the configuration");
    }

    private int getOutstanding(BackendServer server) {
        AtomicInteger count = outstandingByServer.get(server.id());
        return count == null ? 0 : count.get();
    }

    private static Map<String, String> getForwardedHeaders(HttpResponse response) {
        Map<String, String> headers = new HashMap<>(response.headers());
        headers.keySet().removeAll(EXCLUDED_HEADERS);
        return headers;
    }

    /** Execution of one request on one or several servers. */
    private final class RequestExecution {
        private final PlainRequest plainRequest;
        private final RequestDecisions requestDecisions;
        private final long startNanos = System.nanoTime();
        private final List<String> triedServers = new ArrayList<>();
        private boolean mayHaveRun;

        RequestExecution(PlainRequest plainRequest) {
            this.plainRequest = plainRequest;
            this.requestDecisions = new RequestDecisions(decisions, plainRequest.id());
        }

        CompletionStage<Either<Fault, PlainResponse>> tryNext() {
            List<BackendServer> servers = ServiceDependencies.findAvailable(
                    plainRequest.service(), WorkerRole.PLAIN, configuration.get(), view.get());
            List<BackendServer> candidates =
                    servers.stream().filter(s -> !triedServers.contains(s.id())).toList();
            if (candidates.isEmpty()) {
                return CompletableFuture.completedFuture(Either.left(toNoServerFault(servers.size())));
            }
            BackendServer server = chooseServer(candidates);
            triedServers.add(server.id());
            return send(server, candidates.size() > 1);
        }

        private BackendServer chooseServer(List<BackendServer> candidates) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            BackendServer a = candidates.get(random.nextInt(candidates.size()));
            BackendServer b = candidates.get(random.nextInt(candidates.size()));
            BackendServer chosen = selectLessLoaded(a, b);
            requestDecisions.record(
                    triedServers.isEmpty() ? "plain" : "retry",
                    describe(a) + (a == b ? "" : " " + describe(b)) + " of " + candidates.size(),
                    chosen.id(),
                    "fewer outstanding requests of two servers selected at random, own zone when equal");
            return chosen;
        }

        private BackendServer selectLessLoaded(BackendServer a, BackendServer b) {
            int difference = getOutstanding(a) - getOutstanding(b);
            if (difference != 0) {
                return difference < 0 ? a : b;
            }
            String zone = view.get().self().zone();
            return !a.zone().equals(zone) && b.zone().equals(zone) ? b : a;
        }

        private String describe(BackendServer server) {
            return server.id() + "(outstanding=" + getOutstanding(server) + ",zone=" + server.zone() + ")";
        }

        private CompletionStage<Either<Fault, PlainResponse>> send(BackendServer server, boolean hasAlternative) {
            AtomicInteger count = outstandingByServer.computeIfAbsent(server.id(), id -> new AtomicInteger());
            count.incrementAndGet();
            return httpClient
                    .send(toRequest(server, hasAlternative))
                    .whenComplete((response, cause) -> count.decrementAndGet())
                    .handle((response, cause) -> cause == null
                            ? CompletableFuture.completedFuture(
                                    Either.<Fault, PlainResponse>right(toPlainResponse(response)))
                            : handleFailure(server, toIOException(cause)))
                    .thenCompose(next -> next);
        }

        private HttpRequest toRequest(BackendServer server, boolean hasAlternative) {
            Map<String, String> headers = new HashMap<>(plainRequest.headers());
            plainRequest.idempotencyKey().ifPresent(key -> headers.put("Idempotency-Key", key));
            headers.put("Magnoliavane-Request", plainRequest.id());
            long remainingMillis = getRemainingMillis();
            long timeoutMillis = plainRequest.idempotent() && hasAlternative && triedServers.size() < MAX_ATTEMPTS
                    ? Math.max(1, remainingMillis / 2)
                    : remainingMillis;
            return new HttpRequest(
                    plainRequest.method(),
                    server.host(),
                    server.port(),
                    plainRequest.path(),
                    headers,
                    plainRequest.body(),
                    timeoutMillis);
        }

        private long getRemainingMillis() {
            return Math.max(1, plainRequest.timeoutMillis() - (System.nanoTime() - startNanos) / 1_000_000);
        }

        private CompletionStage<Either<Fault, PlainResponse>> handleFailure(BackendServer server, Throwable cause) {
            boolean sent = !(cause instanceof ConnectException);
            mayHaveRun |= sent;
            boolean mayRetry = !sent || plainRequest.idempotent() && retryBudget.tryAcquire();
            if (!mayRetry || triedServers.size() >= MAX_ATTEMPTS || getRemainingMillis() <= 1) {
                return CompletableFuture.completedFuture(Either.left(toFault(server, cause)));
            }
            return tryNext();
        }

        private Fault toFault(BackendServer server, Throwable cause) {
            String description =
                    "server " + server.id() + " of service " + plainRequest.service() + ": " + cause.getMessage();
            if (!mayHaveRun) {
                return toNotRunFault(description);
            }
            FaultKind kind =
                    cause instanceof SocketTimeoutException ? FaultKind.DEADLINE_EXCEEDED : FaultKind.BACKEND_FAILED;
            return Fault.unknownOutcome(kind, description, getRemedy());
        }

        private Fault toNoServerFault(int available) {
            String description = available == 0
                    ? "service " + plainRequest.service() + " has no available backend server"
                    : "servers " + triedServers + " of service " + plainRequest.service()
                            + " failed and no other server is available";
            return mayHaveRun
                    ? Fault.unknownOutcome(FaultKind.BACKEND_FAILED, description, getRemedy())
                    : toNotRunFault(description);
        }

        private Fault toNotRunFault(String description) {
            return Fault.notRun(FaultKind.UNAVAILABLE, description, "repeat the request later")
                    .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        }

        private String getRemedy() {
            return plainRequest.idempotent()
                    ? "repeat the request"
                    : "check at the service whether the request took effect before you send it with a new key";
        }

        private PlainResponse toPlainResponse(HttpResponse response) {
            return new PlainResponse(response.status(), getForwardedHeaders(response), response.body());
        }
    }

    private static Throwable toIOException(Throwable cause) {
        Throwable inner = Failures.unwrap(cause);
        return inner instanceof IOException ? inner : new IOException(inner.toString(), inner);
    }
}
