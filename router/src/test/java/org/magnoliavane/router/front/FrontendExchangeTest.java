package org.magnoliavane.router.front;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.AbstractMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.magnoliavane.http.server.SingleRequestFilter;
import org.magnoliavane.http.server.StreamWriter;
import org.magnoliavane.router.dispatch.RequestMetadata;
import org.magnoliavane.router.dispatch.WireFormat;
import org.magnoliavane.routing.CallerLimits;
import org.magnoliavane.routing.RequestKind;
import org.magnoliavane.routing.Route;
import org.magnoliavane.routing.RoutingTable;
import org.magnoliavane.routing.ServiceProfile;
import org.magnoliavane.routing.WeightedService;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests that callers who disconnect while their response is written do not affect the responses of others: the server
 * reuses its response objects. One server thread makes the reuse certain.
 */
public class FrontendExchangeTest {
    private static final int TIMEOUT_SECONDS = 5;

    /** Time after which the close of a connection on loopback has arrived. */
    private static final long CLOSE_ARRIVAL_MILLIS = 200;

    /** Parts of 1 MB of a stream that the buffers of a connection cannot hold. */
    private static final int STREAM_PARTS = 32;

    /** More than the socket buffers of a connection on loopback hold of a stream that nobody reads. */
    private static final int MAX_SOCKET_BYTES = 9 << 20;

    private static final long IDLE_MILLIS = 300;
    private static final Route ROUTE = new Route(
            "r", "h", "/", RequestKind.STREAM, 700, 300, 300, 1, List.of(new WeightedService("s", 1)), 1, false, false);

    private static final byte[] FIRST_BODY = "first".getBytes(StandardCharsets.UTF_8);
    private static final byte[] SECOND_BODY = "other".getBytes(StandardCharsets.UTF_8);

    private final BlockingQueue<FrontendExchange> exchanges = new LinkedBlockingQueue<>();
    private volatile Step beforeWatch = () -> {};
    private HttpServer server;
    private int port;

    @BeforeMethod
    public void startServer() throws IOException {
        beforeWatch = () -> {};
        NetworkListener listener = new NetworkListener("callers", "127.0.0.1", 0);
        SingleRequestFilter.addTo(listener);
        listener.getTransport()
                .setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName("callers")
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1));
        listener.getTransport().setSelectorRunnersCount(1);
        server = new HttpServer();
        server.addListener(listener);
        server.getServerConfiguration()
                .addHttpHandler(
                        new HttpHandler() {
                            @Override
                            public void service(Request request, Response response) {
                                accept(request, response);
                            }
                        },
                        "/");
        server.start();
        port = listener.getPort();
    }

    @AfterMethod(alwaysRun = true)
    public void stopServer() {
        server.shutdownNow();
    }

    @Test
    public void aResponseToADisconnectedCallerDoesNotReachTheNextCaller() throws Exception {
        CountDownLatch sending = new CountDownLatch(1);
        CountDownLatch resumed = new CountDownLatch(1);
        CompletableFuture<Void> sent;
        try (Socket gone = sendRequest()) {
            FrontendExchange first = takeExchange();
            CountDownLatch disconnected = watchDisconnect(first);
            sent = CompletableFuture.runAsync(() -> first.send(200, pausingHeaders(sending, resumed), FIRST_BODY));
            assertTrue(sending.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            gone.close();
            assertTrue(disconnected.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        try (Socket caller = sendRequest()) {
            FrontendExchange second = takeExchange();
            resumed.countDown();
            sent.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            second.send(200, Map.of(), SECOND_BODY);
            assertEquals(readBody(caller), "other");
        }
    }

    @Test
    public void anEventForADisconnectedCallerDoesNotReachTheNextStream() throws Exception {
        StreamWriter firstWriter;
        try (Socket gone = sendRequest()) {
            FrontendExchange first = takeExchange();
            CountDownLatch disconnected = watchDisconnect(first);
            firstWriter = first.beginStream(200, Map.of()).orElseThrow();
            gone.close();
            assertTrue(disconnected.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        try (Socket caller = sendRequest()) {
            StreamWriter secondWriter = takeExchange()
                    .beginStream(200, Map.of("Content-Length", "5"))
                    .orElseThrow();
            firstWriter.write(FIRST_BODY);
            secondWriter.write(SECOND_BODY);
            secondWriter.end();
            assertEquals(readBody(caller), "other");
        }
    }

    @Test
    public void aCallerThatLeftBeforeItsRequestWasReadIsNoticedBeforeTheRequestIsPassedOn() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        beforeWatch = () -> assertTrue(closed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        sendRequest().close();
        Thread.sleep(CLOSE_ARRIVAL_MILLIS);
        closed.countDown();
        assertTrue(takeExchange().isDisconnected());
    }

    /** Guards against streams that stay open for ever, because the code that relayed them has failed. */
    @Test
    public void aStreamThatGoesOnIsClosedAtItsLimit() throws Exception {
        try (Socket caller = sendRequest()) {
            FrontendExchange exchange = takeExchange();
            CountDownLatch ended = watchDisconnect(exchange);
            exchange.beginStream(200, Map.of()).orElseThrow().write(FIRST_BODY);
            exchange.expire(0);
            assertTrue(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertFalse(readBody(caller).endsWith("0\r\n\r\n"));
        }
    }

    /** Guards against complete streams that are cut off, because their callers read them after the limit. */
    @Test
    public void aCompleteStreamIsDeliveredAfterItsLimit() throws Exception {
        try (Socket caller = sendRequest()) {
            FrontendExchange exchange = takeExchange();
            StreamWriter writer = exchange.beginStream(200, Map.of()).orElseThrow();
            byte[] part = new byte[1 << 20];
            for (int i = 0; i < STREAM_PARTS; i++) {
                writer.writeReplayed(part);
            }
            writer.end();
            exchange.expire(0);
            assertTrue(readBody(caller).endsWith("0\r\n\r\n"));
        }
    }

    /** Guards against memory that is held for good by complete responses whose callers do not read them. */
    @Test
    public void aCompleteStreamWhoseCallerHasStoppedReadingIsClosed() throws Exception {
        try (Socket caller = sendRequest()) {
            FrontendExchange exchange = takeExchange();
            exchange.setRoute(createTable(), ROUTE);
            CountDownLatch ended = watchDisconnect(exchange);
            StreamWriter writer = exchange.beginStream(200, Map.of()).orElseThrow();
            byte[] part = new byte[1 << 20];
            for (int i = 0; i < STREAM_PARTS; i++) {
                writer.writeReplayed(part);
            }
            writer.end();
            exchange.expire(0);
            assertFalse(ended.await(IDLE_MILLIS / 2, TimeUnit.MILLISECONDS), "closed before the time has passed");
            Thread.sleep(IDLE_MILLIS);
            exchange.expire(0);
            assertTrue(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertFalse(caller.isClosed());
        }
    }

    /** Guards against streams that nobody reads and that fill the heap, because the write queue was not counted. */
    @Test
    public void whatACallerHasNotReadIsCountedAsBuffered() throws Exception {
        try (Socket caller = sendRequest()) {
            StreamWriter writer = takeExchange().beginStream(200, Map.of()).orElseThrow();
            byte[] part = new byte[1 << 20];
            for (int i = 0; i < STREAM_PARTS; i++) {
                writer.writeReplayed(part);
            }
            long writtenBytes = (long) STREAM_PARTS * part.length;
            long buffered = writer.getBufferedBytes();
            assertTrue(buffered > writtenBytes - MAX_SOCKET_BYTES, buffered + " of " + writtenBytes);
            assertFalse(caller.isClosed());
        }
    }

    /** Guards against a stream that stays open until its limit, because the code that was to end it has failed. */
    @Test
    public void aStreamThatNobodyEndsIsClosedWhenItsExecutionFails() throws Exception {
        try (Socket caller = sendRequest()) {
            FrontendExchange exchange = takeExchange();
            exchange.beginStream(200, Map.of()).orElseThrow().write(FIRST_BODY);
            exchange.abortUnfinishedStream();
            assertFalse(readBody(caller).endsWith("0\r\n\r\n"));
        }
    }

    @Test
    public void aCompleteStreamIsNotClosedWhenItsExecutionFails() throws Exception {
        try (Socket caller = sendRequest()) {
            FrontendExchange exchange = takeExchange();
            StreamWriter writer = exchange.beginStream(200, Map.of()).orElseThrow();
            writer.write(FIRST_BODY);
            writer.end();
            exchange.abortUnfinishedStream();
            assertTrue(readBody(caller).endsWith("0\r\n\r\n"));
        }
    }

    /** Guards against a request that is sent to a worker after its caller was told that it has not run. */
    @Test
    public void aRequestThatWasAnsweredAsNotRunIsNotSent() throws Exception {
        try (Socket caller = sendRequest()) {
            FrontendExchange exchange = takeExchange();
            exchange.expire(0);
            assertFalse(exchange.permitSending());
            assertTrue(readBody(caller).contains("\"no\""));
        }
    }

    /** Guards against 504 for a request that no worker has received, and against 503 for one that a worker may have. */
    @Test
    public void onlyARequestThatWasNotSentCanBeWithdrawn() throws Exception {
        try (Socket caller = sendRequest()) {
            FrontendExchange exchange = takeExchange();
            assertTrue(exchange.withdrawUnsent());
            assertFalse(exchange.permitSending());
        }
        try (Socket caller = sendRequest()) {
            FrontendExchange exchange = takeExchange();
            assertTrue(exchange.permitSending());
            assertFalse(exchange.withdrawUnsent());
        }
    }

    @Test
    public void aRequestThatWasSentIsNotAnsweredAsNotRun() throws Exception {
        try (Socket caller = sendRequest()) {
            FrontendExchange exchange = takeExchange();
            assertTrue(exchange.permitSending());
            exchange.expire(0);
            assertTrue(readBody(caller).contains("\"unknown\""));
        }
    }

    private static RoutingTable createTable() {
        return RoutingTable.create(
                1,
                List.of(ROUTE),
                List.of(new ServiceProfile("s", 100, Optional.empty())),
                new CallerLimits(16_384, 100_000, 3000, IDLE_MILLIS));
    }

    private void accept(Request request, Response response) {
        FrontendExchange exchange = new FrontendExchange(request, response, createWireFormat(), 0, completed -> {});
        exchange.suspend();
        try {
            beforeWatch.call();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        exchange.watchConnection();
        exchanges.add(exchange);
    }

    /** A step that may fail. */
    private interface Step {
        void call() throws Exception;
    }

    private FrontendExchange takeExchange() throws InterruptedException {
        return Optional.ofNullable(exchanges.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .orElseThrow();
    }

    private static CountDownLatch watchDisconnect(FrontendExchange exchange) {
        CountDownLatch disconnected = new CountDownLatch(1);
        exchange.onDisconnect(disconnected::countDown);
        return disconnected;
    }

    private Socket sendRequest() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static String readBody(Socket socket) throws IOException {
        String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return text.substring(text.indexOf("\r\n\r\n") + 4);
    }

    /** Returns headers whose first use waits, in the middle of a response. */
    private static Map<String, String> pausingHeaders(CountDownLatch reached, CountDownLatch resumed) {
        return new AbstractMap<>() {
            @Override
            public Set<Entry<String, String>> entrySet() {
                reached.countDown();
                try {
                    assertTrue(resumed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                return Set.of();
            }
        };
    }

    private static WireFormat createWireFormat() {
        RequestMetadata metadata =
                new RequestMetadata("1", OptionalLong.empty(), Optional.empty(), Optional.empty(), List.of());
        return (WireFormat) Proxy.newProxyInstance(
                WireFormat.class.getClassLoader(),
                new Class<?>[] {WireFormat.class},
                (proxy, method, arguments) -> method.getName().equals("toStatus") ? 500 : metadata);
    }
}
