package org.magnoliavane.router.front;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.AbstractMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.BackendServer;
import org.magnoliavane.Fault;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.RetryBudget;
import org.magnoliavane.balance.WorkerLoadTracker;
import org.magnoliavane.balance.WorkerSelector;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.http.DaemonTimers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.poison.PoisonDetector;
import org.magnoliavane.router.LoopFailures;
import org.magnoliavane.router.RoutingState;
import org.magnoliavane.router.dispatch.AdmissionQueues;
import org.magnoliavane.router.dispatch.DispatchContext;
import org.magnoliavane.router.dispatch.Dispatcher;
import org.magnoliavane.router.dispatch.PoisonGuard;
import org.magnoliavane.router.dispatch.RequestMetadata;
import org.magnoliavane.router.dispatch.ResponseKind;
import org.magnoliavane.router.dispatch.RetryBudgets;
import org.magnoliavane.router.dispatch.WireFormat;
import org.magnoliavane.router.dispatch.WorkerEndDetector;
import org.magnoliavane.router.settings.HostPort;
import org.magnoliavane.router.settings.RouterSettings;
import org.magnoliavane.routing.CallerLimits;
import org.magnoliavane.routing.RequestKind;
import org.magnoliavane.routing.Route;
import org.magnoliavane.routing.RoutingTable;
import org.magnoliavane.routing.ServiceProfile;
import org.magnoliavane.routing.WeightedService;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that a caller gets a response within its limit whatever fails in the router, with one worker on loopback. */
public class RequestGuardTest {
    private static final String HOST = "127.0.0.1";
    private static final String SERVICE = "s";
    private static final long ROUTE_TIMEOUT_MILLIS = 700;
    private static final long CALLER_TIMEOUT_MILLIS = 1000;

    /** Time after the limit of a request within which its response must have arrived. */
    private static final long MAX_LATE_MILLIS = 250;

    private static final int FIRST_PORT = 18_000;
    private static final int LAST_PORT = 32_000;
    private static final int MAX_PORT_ATTEMPTS = 50;

    private final Map<String, Supplier<?>> faults = new HashMap<>();
    private final CountDownLatch timersReleased = new CountDownLatch(1);
    private ScheduledExecutorService timers;
    private HttpClient client;
    private ServerSocket worker;
    private FrontendServer frontend;
    private int port;

    @BeforeMethod
    public void start() throws IOException {
        faults.clear();
        timers = DaemonTimers.open("test", 1);
        client = HttpClient.open("test", 300);
        worker = new ServerSocket(0, 50, InetAddress.getByName(HOST));
        Thread thread = new Thread(this::serve, "worker");
        thread.setDaemon(true);
        thread.start();
        frontend = FrontendServer.open(createContext());
        // The first responses load classes, which may take longer than the bounds allow.
        assertEquals(send("/known", "body").status, 200);
        assertEquals(send("/unknown", "body").status, 404);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        frontend.close();
        timers.shutdownNow();
        client.close();
        worker.close();
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {"readMetadata", "/known", 500},
            {"whenRefreshed", "/known", 500},
            {"refreshConfiguration", "/unknown", 500},
            {"random", "/known", 500},
            {"countRequest", "/known", 500},
            {"toWorkerHeaders", "/known", 500},
            {"classify", "/known", 500},
            {"toCallerHeaders", "/known", 500},
            {"writeHeaders", "/known", 500},
        };
    }

    /** Guards against requests that nobody answers, because the code that owned them ended by an exception. */
    @Test(dataProvider = "failures")
    public void aRequestIsAnsweredWhenItsOwnerFailsWithAnException(String stage, String path, int status)
            throws Exception {
        failAt(stage, new IllegalStateException());
        assertAnswered(send(path, "body"), status, ROUTE_TIMEOUT_MILLIS);
        assertNothingIsActive();
    }

    /** Guards against requests that nobody answers, because the code that owned them ended by an error. */
    @Test(dataProvider = "failures")
    public void aRequestIsAnsweredWhenItsOwnerFailsWithAnError(String stage, String path, int status) throws Exception {
        failAt(stage, new OutOfMemoryError());
        assertAnswered(send(path, "body"), status, ROUTE_TIMEOUT_MILLIS);
        assertNothingIsActive();
    }

    @DataProvider
    public Object[][] silences() {
        return new Object[][] {
            {"/known", "", 503, CALLER_TIMEOUT_MILLIS},
            {"/unknown", "body", 503, CALLER_TIMEOUT_MILLIS},
            {"/known", "body", 504, ROUTE_TIMEOUT_MILLIS},
        };
    }

    /** Guards against requests that nobody answers, because the thread that runs their timeouts is blocked. */
    @Test(dataProvider = "silences")
    public void aRequestIsAnsweredAtItsLimitWhenItsOwnerDoesNothing(String path, String body, int status, long limit)
            throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        timers.execute(() -> {
            blocked.countDown();
            awaitRelease();
        });
        assertTrue(blocked.await(5, TimeUnit.SECONDS));
        faults.put("refreshConfiguration", CompletableFuture::new);
        faults.put("respond", () -> false);
        assertAnswered(send(path, body), status, limit);
        assertNothingIsActive();
    }

    @Test
    public void aRequestIsServedWhenARefreshOfTheStateFails() throws Exception {
        faults.put("whenRefreshed", () -> CompletableFuture.failedFuture(new OutOfMemoryError()));
        assertAnswered(send("/known", "body"), 200, ROUTE_TIMEOUT_MILLIS);
    }

    private void awaitRelease() {
        try {
            timersReleased.await();
        } catch (InterruptedException e) {
            // The test has ended.
            return;
        }
    }

    private void failAt(String stage, Throwable failure) {
        faults.put(stage, () -> {
            throw RequestGuardTest.<RuntimeException>asUnchecked(failure);
        });
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> T asUnchecked(Throwable failure) throws T {
        throw (T) failure;
    }

    @SuppressWarnings("unchecked")
    private <T> T reach(String stage, T otherwise) {
        return faults.containsKey(stage) ? (T) faults.get(stage).get() : otherwise;
    }

    private static void assertAnswered(Answer answer, int status, long limitMillis) {
        assertEquals(answer.status, status);
        assertTrue(answer.millis <= limitMillis + MAX_LATE_MILLIS, answer.millis + " ms");
    }

    private void assertNothingIsActive() throws InterruptedException {
        for (int i = 0; i < 100 && frontend.countActive() > 0; i++) {
            Thread.sleep(10);
        }
        assertEquals(frontend.countActive(), 0);
    }

    private record Answer(int status, long millis) {}

    private Answer send(String path, String body) throws IOException {
        long startNanos = System.nanoTime();
        try (Socket socket = new Socket(HOST, port)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
            byte[] head = socket.getInputStream().readNBytes(12);
            long millis = (System.nanoTime() - startNanos) / 1_000_000;
            String text = new String(head, StandardCharsets.UTF_8);
            return new Answer(text.length() < 12 ? 0 : Integer.parseInt(text.substring(9)), millis);
        }
    }

    private void serve() {
        while (!worker.isClosed()) {
            try (Socket socket = worker.accept()) {
                InputStream in = socket.getInputStream();
                in.read(new byte[4096]);
                if (reach("respond", true)) {
                    OutputStream out = socket.getOutputStream();
                    out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.UTF_8));
                    socket.shutdownOutput();
                }
                in.readAllBytes();
            } catch (IOException e) {
                // The client has closed the connection, or the test has ended.
                continue;
            }
        }
    }

    private FrontendContext createContext() throws IOException {
        RoutingState state = new RoutingState();
        state.install(RoutingTable.create(
                1,
                List.of(new Route(
                        "r",
                        "h",
                        "/known",
                        RequestKind.NON_IDEMPOTENT,
                        (int) ROUTE_TIMEOUT_MILLIS,
                        300,
                        300,
                        1,
                        List.of(new WeightedService(SERVICE, 1)),
                        1,
                        false,
                        false)),
                List.of(new ServiceProfile(SERVICE, 100, Optional.empty())),
                new CallerLimits(16_384, 100_000, 3000, 15_000)));
        state.setWorkers(Map.of(
                SERVICE,
                List.of(new ListedWorker(
                        new BackendServer("w", SERVICE, WorkerRole.PLAIN, HOST, worker.getLocalPort(), "z", false),
                        6,
                        1))));
        LongSupplier millis = () -> System.nanoTime() / 1_000_000;
        RouterSettings settings = createSettings();
        port = settings.callers().port();
        WorkerLoadTracker loadTracker = new WorkerLoadTracker(() -> {});
        MetricRegistry metrics = new MetricRegistry();
        WireFormat wire = createWireFormat();
        Dispatcher dispatcher = new Dispatcher(new DispatchContext(
                state,
                () -> 0,
                loadTracker,
                new WorkerSelector(loadTracker, "z", () -> 0.5),
                new AdmissionQueues(
                        timers, millis, () -> 0.5, service -> false, () -> {}, LoopFailures.create(metrics)),
                null,
                null,
                new RetryBudgets(
                        () -> new RetryBudget(0, 10, 10_000), () -> 1, () -> reach("countRequest", millis.getAsLong())),
                new PoisonGuard(
                        new PoisonDetector(feature -> false),
                        new WorkerEndDetector(client, timers),
                        timers,
                        millis,
                        () -> {}),
                new WorkerEndDetector(client, timers),
                (id, until) -> {},
                client,
                wire,
                ByteBudget.of(1 << 20),
                timers,
                millis,
                () -> reach("random", 0.5),
                metrics));
        return new FrontendContext(
                settings,
                state,
                wire,
                dispatcher,
                null,
                new FaultyRefresher(),
                List::of,
                () -> true,
                new GracefulShutdown(),
                null,
                ByteBudget.of(1 << 20),
                timers,
                millis,
                metrics);
    }

    private static RouterSettings createSettings() throws IOException {
        return new RouterSettings(
                "node-1",
                "z",
                true,
                findAddress(),
                findAddress(),
                findAddress(),
                1,
                findAddress().port(),
                findAddress(),
                0.2,
                0.2,
                54,
                10_000,
                4000,
                300,
                300,
                300,
                1000,
                1200,
                200,
                Level.INFO);
    }

    private static HostPort findAddress() throws IOException {
        // Connections of other processes take ports above this range at any moment.
        for (int attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
            int candidate = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(candidate, 1, InetAddress.getByName(HOST))) {
                return new HostPort(HOST, socket.getLocalPort());
            } catch (BindException e) {
                continue;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + LAST_PORT);
    }

    private WireFormat createWireFormat() {
        RequestMetadata metadata = new RequestMetadata(
                "1", OptionalLong.of(CALLER_TIMEOUT_MILLIS), Optional.empty(), Optional.empty(), List.of());
        Map<String, String> headers = new AbstractMap<>() {
            @Override
            public Set<Entry<String, String>> entrySet() {
                return reach("writeHeaders", Set.of());
            }
        };
        Map<String, Supplier<?>> results = Map.of(
                "readMetadata", () -> metadata,
                "toWorkerHeaders", Map::of,
                "classify", () -> ResponseKind.VALID,
                "isLeaving", () -> false,
                "statesNotRun", () -> false,
                "readRetryAfterMillis", OptionalLong::empty,
                "toCallerHeaders", () -> headers);
        return (WireFormat) Proxy.newProxyInstance(
                WireFormat.class.getClassLoader(),
                new Class<?>[] {WireFormat.class},
                (proxy, method, arguments) -> method.getName().equals("toStatus")
                        ? ((Fault) arguments[0]).kind().getHttpStatus()
                        : reach(method.getName(), results.get(method.getName()).get()));
    }

    /** Reports a current state unless a test says otherwise. */
    private final class FaultyRefresher implements StateRefresher {
        @Override
        public CompletionStage<Void> whenRefreshed() {
            return reach("whenRefreshed", CompletableFuture.completedFuture(null));
        }

        @Override
        public CompletionStage<Boolean> refreshConfiguration(long maxAgeMillis) {
            return reach("refreshConfiguration", CompletableFuture.completedFuture(true));
        }
    }
}
