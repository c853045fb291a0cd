package org.magnoliavane.router.dispatch;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.BackendServer;
import org.magnoliavane.Fault;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.AdmissionForecast;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ReservationTable.Demand;
import org.magnoliavane.balance.ReservationTable.Reply;
import org.magnoliavane.balance.RetryBudget;
import org.magnoliavane.balance.StepTimes;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerSelector;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.server.StreamWriter;
import org.magnoliavane.poison.PoisonDetector;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.RoutingState;
import org.magnoliavane.routing.CallerLimits;
import org.magnoliavane.routing.EngineProfile;
import org.magnoliavane.routing.RequestKind;
import org.magnoliavane.routing.Route;
import org.magnoliavane.routing.RoutingTable;
import org.magnoliavane.routing.ServiceProfile;
import org.magnoliavane.routing.WeightedService;

/** Dispatches requests to two workers of each role on loopback. */
final class DispatchHarness implements AutoCloseable {
    private static final String SERVICE = "s";

    /** Number of connections that a worker may not have accepted yet. */
    private static final int BACKLOG = 4096;

    /** Called with each worker to which a request is about to be sent. */
    Consumer<ListedWorker> onChoice = worker -> {};

    /** Classifies the responses of workers. */
    Function<ListedWorker, ResponseKind> classification = worker -> ResponseKind.VALID;

    int promptTokens = 1000;
    int timeoutMillis = 3000;
    int targetMillis = 900;
    RequestKind plainKind = RequestKind.NON_IDEMPOTENT;

    /** Supplies the body of each request. */
    Supplier<byte[]> bodies = () -> new byte[0];

    /** Called with a task that ends each request as when its caller leaves. */
    Consumer<Runnable> onCaller = task -> {};

    EngineProfile engine = new EngineProfile(8, 10_000, 500);

    /** Receives the workers that are reported to other nodes, and until when they are suspended. */
    BiConsumer<String, Long> onUnreachable = (worker, until) -> {};

    ReservationService reservationService = new GrantingReservations();
    StepTimes stepTimes = StepTimes.UNKNOWN;
    double retryAllowance = 10;

    private final List<Worker> workers = new ArrayList<>();
    private final ScheduledExecutorService timers = DaemonTimers.open("test", 1);
    private final HttpClient client = HttpClient.open("test", 300);
    private final RoutingState routingState = new RoutingState();
    final WorkerLoadTracker loadTracker = new WorkerLoadTracker(() -> {});

    DispatchHarness() throws IOException {
        for (WorkerRole role : WorkerRole.values()) {
            workers.add(new Worker(role + "-1", role));
            workers.add(new Worker(role + "-2", role));
        }
        list(workers.stream().map(w -> w.listed).toList());
    }

    List<Worker> getWorkers() {
        return workers;
    }

    void list(List<ListedWorker> listed) {
        routingState.setWorkers(Map.of(SERVICE, List.copyOf(listed)));
    }

    @Override
    public void close() throws IOException {
        timers.shutdownNow();
        client.close();
        for (Worker worker : workers) {
            worker.socket.close();
        }
    }

    /** Sends a request whose last worker has a role, and returns the body or the reason of a failure. */
    String send(WorkerRole role) throws Exception {
        return sendAll(role, 1).get(0).get(5, TimeUnit.SECONDS);
    }

    /** Sends requests whose last worker has a role, and returns futures of the bodies or the reasons of failures. */
    List<CompletableFuture<String>> sendAll(WorkerRole role, int requests) {
        RequestKind kind = role == WorkerRole.PLAIN ? plainKind : RequestKind.STREAM;
        Route route = new Route(
                "r",
                "h",
                "/",
                kind,
                timeoutMillis,
                targetMillis,
                300,
                1,
                List.of(new WeightedService(SERVICE, 1)),
                1,
                false,
                false);
        routingState.install(RoutingTable.create(
                1,
                List.of(route),
                List.of(new ServiceProfile(
                        SERVICE, 100, role == WorkerRole.PLAIN ? Optional.empty() : Optional.of(engine))),
                new CallerLimits(16_384, 100_000, 3000, 15_000)));
        LongSupplier millis = () -> System.nanoTime() / 1_000_000;
        Dispatcher dispatcher = new Dispatcher(new DispatchContext(
                routingState,
                () -> 0,
                loadTracker,
                new WorkerSelector(loadTracker, "z", () -> 0.5),
                new AdmissionQueues(
                        timers,
                        millis,
                        () -> 0.5,
                        service -> false,
                        () -> {},
                        LoopFailures.create(new MetricRegistry())),
                new AdmissionControl(new AdmissionForecast(), stepTimes, millis, () -> 0.5),
                reservationService,
                new RetryBudgets(() -> new RetryBudget(0, retryAllowance, 10_000), () -> 1, millis),
                new PoisonGuard(
                        new PoisonDetector(feature -> false),
                        new WorkerEndDetector(client, timers),
                        timers,
                        millis,
                        () -> {}),
                new WorkerEndDetector(client, timers),
                onUnreachable,
                client,
                new PlainFormat(),
                ByteBudget.ofHeap(),
                timers,
                millis,
                () -> 0.5,
                new MetricRegistry()));
        List<CompletableFuture<String>> responses = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            CollectedResponse response = new CollectedResponse();
            dispatcher.dispatch(createRequest("a" + i, route, millis.getAsLong()), response);
            responses.add(response.body);
        }
        return responses;
    }

    private CallerRequest createRequest(String id, Route route, long now) {
        return new CallerRequest(
                "POST",
                "/",
                Map.of(),
                new RequestMetadata(
                        id,
                        OptionalLong.empty(),
                        Optional.of(new GenerationSize(promptTokens, 50, 50)),
                        Optional.empty(),
                        List.of()),
                bodies.get(),
                route,
                1,
                now,
                now + timeoutMillis,
                Optional.empty(),
                0,
                1);
    }

    /** A worker that responds to each request. */
    static final class Worker {
        private final ServerSocket socket;
        final ListedWorker listed;
        final List<String> requests = new CopyOnWriteArrayList<>();

        Worker(String id, WorkerRole role) throws IOException {
            socket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
            listed = new ListedWorker(
                    new BackendServer(id, SERVICE, role, "127.0.0.1", socket.getLocalPort(), "z", false), 6, 1);
            Thread thread = new Thread(this::serve, id);
            thread.setDaemon(true);
            thread.start();
        }

        private void serve() {
            while (!socket.isClosed()) {
                try (Socket connection = socket.accept()) {
                    byte[] bytes = new byte[4096];
                    int length = connection.getInputStream().read(bytes);
                    if (length > 0) {
                        requests.add(new String(bytes, 0, length));
                        OutputStream out = connection.getOutputStream();
                        String body = listed.server().role() == WorkerRole.DECODE ? "data: done\n\n" : "done";
                        out.write(
                                ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
                        out.flush();
                        connection.shutdownOutput();
                        // A close with unread bytes would reset the connection.
                        connection.getInputStream().readAllBytes();
                    }
                } catch (IOException e) {
                    // The client has closed the connection, or the test has ended.
                    continue;
                }
            }
        }
    }

    private static final class GrantingReservations implements ReservationService {
        @Override
        public Reservation reserve(Demand demand, Consumer<Reply> onReply) {
            onReply.accept(Reply.GRANTED);
            return () -> {};
        }
    }

    /** Tells the test of each worker to which a request is about to be sent. */
    private final class PlainFormat implements WireFormat {
        @Override
        public boolean statesNotRun(int status) {
            return status == 503;
        }

        @Override
        public RequestMetadata readMetadata(Map<String, String> headers) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Map<String, String> toWorkerHeaders(CallerRequest request, WorkerRequest workerRequest) {
            onChoice.accept(workerRequest.worker());
            return Map.of();
        }

        @Override
        public ResponseKind classify(
                CallerRequest request, WorkerRequest workerRequest, int status, Map<String, String> headers) {
            return classification.apply(workerRequest.worker());
        }

        @Override
        public boolean isLeaving(Map<String, String> headers) {
            return false;
        }

        @Override
        public OptionalLong readRetryAfterMillis(Map<String, String> headers) {
            return OptionalLong.empty();
        }

        @Override
        public Map<String, String> toCallerHeaders(Map<String, String> headers) {
            return headers;
        }

        @Override
        public CacheHandle readCacheHandle(WorkerRequest workerRequest, byte[] body) {
            return new CacheHandle("127.0.0.1", 1, "h1");
        }

        @Override
        public int toStatus(Fault fault) {
            return 500;
        }
    }

    /** Collects the response to the caller. */
    private final class CollectedResponse implements CallerResponse {
        private final CompletableFuture<String> body = new CompletableFuture<>();

        @Override
        public void abortUnfinishedStream() {
            // Streams are complete at once.
        }

        @Override
        public void send(int status, Map<String, String> headers, byte[] bytes) {
            body.complete(new String(bytes));
        }

        @Override
        public Optional<StreamWriter> beginStream(int status, Map<String, String> headers) {
            body.complete("done");
            return Optional.empty();
        }

        @Override
        public void fail(Fault fault) {
            body.complete(fault.message());
        }

        @Override
        public void abort() {
            body.complete("aborted");
        }

        @Override
        public void onDisconnect(Runnable task) {
            onCaller.accept(task);
        }

        @Override
        public void onComplete(Runnable task) {
            body.thenRun(task);
        }
    }
}
