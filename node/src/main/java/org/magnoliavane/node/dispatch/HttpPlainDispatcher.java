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
 * Sends calls to the servers of plain services, each on a new connection. Of two servers drawn at random, the one with
 * fewer outstanding calls of this node gets the call.
 *
 * <p>Thread-safe.
 */
public final class HttpPlainDispatcher implements PlainDispatcher {
    /** Most servers that one call is tried on. */
    private static final int MAX_TRIES = 3;

    private static final long RETRY_AFTER_MILLIS = 1000;

    /** Headers that belong to one connection, or that the client sets itself. */
    private static final Set<String> NOT_PASSED_ON = Set.of(
            "connection", "content-length", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "date");

    private final HttpClient client;
    private final Supplier<Configuration> configuration;
    private final Supplier<ClusterView> view;
    private final DecisionLog decisions;
    private final RetryBudget budget = new RetryBudget();
    private final Map<String, AtomicInteger> outstanding = new ConcurrentHashMap<>();

    private HttpPlainDispatcher(
            HttpClient client,
            Supplier<Configuration> configuration,
            Supplier<ClusterView> view,
            DecisionLog decisions) {
        this.client = client;
        this.configuration = configuration;
        this.view = view;
        this.decisions = decisions;
    }

    /**
     * Creates a dispatcher.
     *
     * @param client sends the calls
     * @param configuration gets the configuration in force
     * @param view gets the backend servers
     * @param decisions records the choices
     * @return the dispatcher
     */
    public static HttpPlainDispatcher create(
            HttpClient client,
            Supplier<Configuration> configuration,
            Supplier<ClusterView> view,
            DecisionLog decisions) {
        return new HttpPlainDispatcher(client, configuration, view, decisions);
    }

    @Override
    public CompletionStage<Either<Fault, PlainResponse>> dispatch(PlainRequest call) {
        Configuration current = configuration.get();
        Service service = current.services().get(call.service());
        if (service == null) {
            return CompletableFuture.completedFuture(Either.left(unknownService(call)));
        }
        Optional<Fault> refusal = ServiceDependencies.findFault(service, current, view.get());
        if (refusal.isPresent()) {
            new RequestDecisions(decisions, call.request())
                    .record(
                            "refuse",
                            "dependencies " + service.dependsOn(),
                            refusal.get().kind().toWire(),
                            refusal.get().message());
            return CompletableFuture.completedFuture(Either.left(refusal.get()));
        }
        if (call.idempotent()) {
            budget.earn(current.limits().retryBudgetPercent());
        }
        return new Dispatch(call).tryNext();
    }

    private static Fault unknownService(PlainRequest call) {
        return Fault.notRun(
                FaultKind.NOT_FOUND,
                "service " + call.service() + " is not in the configuration in force",
                "use a route that the configuration has");
    }

    private int getOutstanding(BackendServer server) {
        AtomicInteger count = outstanding.get(server.id());
        return count == null ? 0 : count.get();
    }

    private static Map<String, String> headersOf(HttpResponse response) {
        Map<String, String> headers = new HashMap<>(response.headers());
        headers.keySet().removeAll(NOT_PASSED_ON);
        return headers;
    }

    /** One call with the servers that it was tried on. */
    private final class Dispatch {
        private final PlainRequest call;
        private final RequestDecisions log;
        private final long startNanos = System.nanoTime();
        private final List<String> tried = new ArrayList<>();
        private boolean mayHaveRun;

        Dispatch(PlainRequest call) {
            this.call = call;
            this.log = new RequestDecisions(decisions, call.request());
        }

        CompletionStage<Either<Fault, PlainResponse>> tryNext() {
            List<BackendServer> servers = ServiceDependencies.findAvailable(
                    call.service(), WorkerRole.PLAIN, configuration.get(), view.get());
            List<BackendServer> candidates =
                    servers.stream().filter(s -> !tried.contains(s.id())).toList();
            if (candidates.isEmpty()) {
                return CompletableFuture.completedFuture(Either.left(noServer(servers.size())));
            }
            BackendServer server = choose(candidates);
            tried.add(server.id());
            return send(server, candidates.size() > 1);
        }

        private BackendServer choose(List<BackendServer> candidates) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            BackendServer a = candidates.get(random.nextInt(candidates.size()));
            BackendServer b = candidates.get(random.nextInt(candidates.size()));
            BackendServer chosen = better(a, b);
            log.record(
                    tried.isEmpty() ? "plain" : "retry",
                    describe(a) + (a == b ? "" : " " + describe(b)) + " of " + candidates.size(),
                    chosen.id(),
                    "fewer outstanding calls of two drawn at random, own zone when equal");
            return chosen;
        }

        private BackendServer better(BackendServer a, BackendServer b) {
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

        private CompletionStage<Either<Fault, PlainResponse>> send(BackendServer server, boolean hasOther) {
            AtomicInteger count = outstanding.computeIfAbsent(server.id(), id -> new AtomicInteger());
            count.incrementAndGet();
            return client.send(toRequest(server, hasOther))
                    .whenComplete((response, cause) -> count.decrementAndGet())
                    .handle((response, cause) -> cause == null
                            ? CompletableFuture.completedFuture(Either.<Fault, PlainResponse>right(toAnswer(response)))
                            : afterFailure(server, unwrap(cause)))
                    .thenCompose(next -> next);
        }

        private HttpRequest toRequest(BackendServer server, boolean hasOther) {
            Map<String, String> headers = new HashMap<>(call.headers());
            call.idempotencyKey().ifPresent(key -> headers.put("Idempotency-Key", key));
            headers.put("Magnoliavane-Request", call.request());
            long left = getLeftMillis();
            long limit = call.idempotent() && hasOther && tried.size() < MAX_TRIES ? Math.max(1, left / 2) : left;
            return new HttpRequest(
                    call.method(), server.host(), server.port(), call.path(), headers, call.body(), limit);
        }

        private long getLeftMillis() {
            return Math.max(1, call.timeoutMillis() - (System.nanoTime() - startNanos) / 1_000_000);
        }

        private CompletionStage<Either<Fault, PlainResponse>> afterFailure(BackendServer server, Throwable cause) {
            boolean sent = !(cause instanceof ConnectException);
            mayHaveRun |= sent;
            boolean mayRetry = !sent || call.idempotent() && budget.spend();
            if (!mayRetry || tried.size() >= MAX_TRIES || getLeftMillis() <= 1) {
                return CompletableFuture.completedFuture(Either.left(toFault(server, cause)));
            }
            return tryNext();
        }

        private Fault toFault(BackendServer server, Throwable cause) {
            String what = "server " + server.id() + " of service " + call.service() + ": " + cause.getMessage();
            if (!mayHaveRun) {
                return notRun(what);
            }
            FaultKind kind =
                    cause instanceof SocketTimeoutException ? FaultKind.DEADLINE_EXCEEDED : FaultKind.BACKEND_FAILED;
            return Fault.unknownOutcome(kind, what, remedy());
        }

        private Fault noServer(int available) {
            String what = available == 0
                    ? "service " + call.service() + " has no available backend server"
                    : "servers " + tried + " of service " + call.service() + " failed and there is no other";
            return mayHaveRun ? Fault.unknownOutcome(FaultKind.BACKEND_FAILED, what, remedy()) : notRun(what);
        }

        private Fault notRun(String what) {
            return Fault.notRun(FaultKind.UNAVAILABLE, what, "repeat the request later")
                    .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        }

        private String remedy() {
            return call.idempotent()
                    ? "repeat the request"
                    : "find out at the service whether the call took effect before you send it with a new key";
        }

        private PlainResponse toAnswer(HttpResponse response) {
            return new PlainResponse(response.status(), headersOf(response), response.body());
        }
    }

    private static Throwable unwrap(Throwable cause) {
        Throwable inner = Failures.unwrap(cause);
        return inner instanceof IOException ? inner : new IOException(inner.toString(), inner);
    }
}
