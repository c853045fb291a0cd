package org.magnoliavane.http.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Tests that a server that ends has handled each request that it has read, and reads no other one. */
public class ReadGateTest {
    private static final int THREADS = 2;
    private static final int TIMEOUT_MILLIS = 5000;

    /** Time after which a request on loopback waits for a thread of the server. */
    private static final long ARRIVAL_MILLIS = 100;

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";

    private final AtomicInteger handled = new AtomicInteger();
    private CountDownLatch entered;
    private CountDownLatch released;
    private HttpServer server;
    private ReadGate gate;
    private int port;

    @BeforeMethod
    public void startServer() throws IOException {
        handled.set(0);
        entered = new CountDownLatch(THREADS);
        released = new CountDownLatch(1);
        NetworkListener listener = new NetworkListener("callers", "127.0.0.1", 0);
        SingleRequestFilter.addTo(listener);
        gate = ReadGate.addTo(listener, THREADS);
        listener.getTransport()
                .setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName("callers")
                        .setCorePoolSize(THREADS)
                        .setMaxPoolSize(THREADS));
        listener.getTransport().setSelectorRunnersCount(1);
        server = new HttpServer();
        server.addListener(listener);
        server.getServerConfiguration()
                .addHttpHandler(
                        new HttpHandler() {
                            @Override
                            public void service(Request request, Response response) throws Exception {
                                answer(request, response);
                            }
                        },
                        "/");
        server.start();
        port = listener.getPort();
    }

    @AfterMethod(alwaysRun = true)
    public void stopServer() {
        released.countDown();
        server.shutdownNow();
    }

    /** Guards against requests that have been read, are not counted yet, and are cut when the process ends. */
    @Test
    public void readingHasEndedOnceAllThatWasReadIsHandled() throws Exception {
        try (Socket first = send(REQUEST);
                Socket second = send(REQUEST)) {
            assertTrue(entered.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            CompletableFuture<Integer> shut = CompletableFuture.supplyAsync(() -> gate.shut(TIMEOUT_MILLIS));
            assertThrows(TimeoutException.class, () -> shut.get(ARRIVAL_MILLIS, TimeUnit.MILLISECONDS));
            released.countDown();
            assertEquals(shut.get(), Integer.valueOf(0));
            assertEquals(handled.get(), 2);
            assertTrue(read(first).startsWith("HTTP/1.1 200"));
            assertTrue(read(second).startsWith("HTTP/1.1 200"));
        }
    }

    /** Guards against requests that have waited for a busy process, are older than others would accept, and are closed. */
    @Test
    public void whatWaitsForAThreadWhenReadingEndsIsStillAnswered() throws Exception {
        try (Socket first = send(REQUEST);
                Socket second = send(REQUEST)) {
            assertTrue(entered.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            try (Socket waiting = send(REQUEST)) {
                Thread.sleep(ARRIVAL_MILLIS);
                CompletableFuture<Integer> shut = CompletableFuture.supplyAsync(() -> gate.shut(TIMEOUT_MILLIS));
                Thread.sleep(ARRIVAL_MILLIS);
                released.countDown();
                shut.get();
                assertTrue(read(waiting).startsWith("HTTP/1.1 200"));
            }
            assertTrue(read(first).startsWith("HTTP/1.1 200"));
            assertTrue(read(second).startsWith("HTTP/1.1 200"));
        }
    }

    /** Guards against callers that wait on open connections for an answer that nobody writes. */
    @Test
    public void aConnectionWithoutACompleteRequestIsClosedUnread() throws Exception {
        released.countDown();
        try (Socket unused = send("");
                Socket partial = send("GET / HTTP/1.1\r\nHo")) {
            Thread.sleep(ARRIVAL_MILLIS);
            assertEquals(gate.shut(TIMEOUT_MILLIS), 2);
            assertEquals(read(unused), "");
            assertEquals(read(partial), "");
            try (Socket late = send(REQUEST)) {
                assertEquals(read(late), "");
            }
        }
        assertEquals(handled.get(), 0);
    }

    private void answer(Request request, Response response) throws IOException, InterruptedException {
        entered.countDown();
        released.await();
        SingleRequestFilter.startReading(request.getRequest().getConnection());
        handled.incrementAndGet();
        response.setHeader("Connection", "close");
        response.getWriter().write("answer");
    }

    private Socket send(String text) throws IOException {
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static String read(Socket socket) throws IOException {
        try {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (SocketException e) {
            // A connection that is closed with unread bytes is reset.
            return "";
        }
    }
}
