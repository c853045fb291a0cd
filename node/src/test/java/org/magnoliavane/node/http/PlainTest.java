package org.magnoliavane.node.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.json.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class PlainTest {
    private final Map<String, FakeServer> servers = new HashMap<>();
    private TestNode node;

    @BeforeMethod
    public void start() throws Exception {
        node = new TestNode("entry-1");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        node.close();
        servers.values().forEach(FakeServer::close);
        servers.clear();
    }

    @Test
    public void aBookingWithAKeyUsesTheKeyedRequestService() throws Exception {
        FakeServer server = addServer("b1", "a");
        HttpResponse<String> response = node.send("POST", "/bookings", "{}", "Idempotency-Key", "\"t/1\"");
        assertEquals(response.statusCode(), 201);
        assertEquals(response.body(), "b1 POST /bookings t/1 {}");
        assertEquals(node.keyedRequests.get(0).caller(), "anna");
        assertEquals(node.keyedRequests.get(0).idempotencyKey().orElseThrow(), "t/1");
        assertEquals(server.requestCount.get(), 1);
    }

    @Test
    public void aBookingWithoutAKeyIsRefused() throws Exception {
        FakeServer server = addServer("b1", "a");
        HttpResponse<String> response = node.send("POST", "/bookings", "{}");
        assertEquals(response.statusCode(), 400);
        assertEquals(readError(response).path("type").asText(), "missing_idempotency_key");
        assertEquals(readError(response).path("ran").asText(), "no");
        assertEquals(server.requestCount.get(), 0);
    }

    /** Guards against a booking that is executed twice because its response was lost. */
    @Test
    public void aBookingWhoseResponseIsLostIsNotRetried() throws Exception {
        FakeServer first = addServer("b1", "a");
        FakeServer second = addServer("b2", "a");
        first.dropResponses = true;
        second.dropResponses = true;
        HttpResponse<String> response = node.send("POST", "/bookings", "{}", "Idempotency-Key", "k");
        assertEquals(response.statusCode(), 502);
        assertEquals(readError(response).path("ran").asText(), "unknown");
        assertEquals(first.requestCount.get() + second.requestCount.get(), 1);
    }

    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {{421}, {425}, {429}, {503}};
    }

    /** Guards against a booking that runs twice, or is reported as not run, because a server refuses it after it ran it. */
    @Test(dataProvider = "refusals")
    public void aRefusalOfAServerDoesNotProveThatABookingDidNotRun(int status) throws Exception {
        FakeServer first = addServer("b1", "a");
        FakeServer second = addServer("b2", "a");
        first.status = status;
        second.status = status;
        HttpResponse<String> response = node.send("POST", "/bookings", "{}", "Idempotency-Key", "k");
        assertEquals(response.statusCode(), status);
        assertTrue(response.body().endsWith(" POST /bookings k {}"), response.body());
        assertEquals(first.requestCount.get() + second.requestCount.get(), 1);
    }

    @DataProvider
    public Object[][] malformedHeads() {
        return new Object[][] {
            {"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 4\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nX Name: a\r\nContent-Length: 4\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nX-\u0001Name: a\r\nContent-Length: 4\r\n\r\n"},
        };
    }

    /** Guards against a success that is not the server's: where its body ends is not certain. */
    @Test(dataProvider = "malformedHeads")
    public void aBookingWhoseResponseIsMalformedIsReportedAsUnknown(String head) throws Exception {
        try (ServerSocket server = new ServerSocket(0)) {
            node.servers.add(toBackendServer("b1", server.getLocalPort()));
            CompletableFuture<Void> served = CompletableFuture.runAsync(() -> serveOnce(server, head + "done"));
            HttpResponse<String> response = node.send("POST", "/bookings", "{}", "Idempotency-Key", "k");
            assertEquals(response.statusCode(), 502, response.body());
            assertEquals(readError(response).path("ran").asText(), "unknown");
            served.get(5, TimeUnit.SECONDS);
        }
    }

    private static void serveOnce(ServerSocket server, String response) {
        try (Socket connection = server.accept()) {
            connection.getInputStream().read(new byte[4096]);
            connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    public void aBookingThatTimesOutIsReportedAsUnknown() throws Exception {
        FakeServer server = addServer("b1", "a");
        server.delayMillis = 1000;
        HttpResponse<String> response = node.send("POST", "/bookings", "{}", "Idempotency-Key", "k");
        assertEquals(response.statusCode(), 504);
        assertEquals(readError(response).path("ran").asText(), "unknown");
    }

    @Test
    public void aRefusedConnectionLeadsToAnotherServer() throws Exception {
        addServer("b1", "a");
        node.servers.add(createClosedServer("b2"));
        node.servers.add(createClosedServer("b3"));
        for (int i = 0; i < 10; i++) {
            HttpResponse<String> response = node.send("POST", "/bookings", "{}", "Idempotency-Key", "k" + i);
            assertEquals(response.statusCode(), 201, response.body());
        }
    }

    /**
     * Guards against a connection that is closed or blocked because its next request arrived before the previous one had
     * ended.
     */
    @Test
    public void connectionsServeManyConsecutiveRequests() throws Exception {
        addServer("b1", "a");
        List<CompletableFuture<Void>> threads = new ArrayList<>();
        for (int t = 0; t < 4; t++) {
            String name = "t" + t + "-";
            threads.add(CompletableFuture.runAsync(() -> sendConsecutively(name, 150)));
        }
        for (CompletableFuture<Void> thread : threads) {
            thread.get(20, TimeUnit.SECONDS);
        }
    }

    private void sendConsecutively(String name, int calls) {
        HttpClient own = HttpClient.newHttpClient();
        for (int i = 0; i < calls; i++) {
            HttpRequest request = node.createRequest("POST", "/bookings", "{}", "Idempotency-Key", name + i);
            HttpResponse<String> response =
                    own.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join();
            assertEquals(response.body(), "b1 POST /bookings " + name + i + " {}");
        }
    }

    /** Guards against a response that is truncated because it is larger than the buffers of the transport. */
    @Test
    public void aLargeResponseArrivesCompletely() throws Exception {
        addServer("b1", "a").padding = 20_000_000;
        HttpResponse<String> response = node.send("GET", "/schedule/today", "");
        assertEquals(response.statusCode(), 201);
        assertTrue(response.body().length() > 20_000_000);
    }

    @Test
    public void aBookingThatReachedNoServerIsReportedAsNotRun() throws Exception {
        node.servers.add(createClosedServer("b1"));
        HttpResponse<String> response = node.send("POST", "/bookings", "{}", "Idempotency-Key", "k");
        assertEquals(response.statusCode(), 503);
        assertEquals(readError(response).path("ran").asText(), "no");
        assertTrue(response.headers().firstValue("Retry-After").isPresent());
    }

    @Test
    public void aLookupIsRetriedAtAnotherServerWithinTheBudget() throws Exception {
        FakeServer broken = addServer("b1", "a");
        addServer("b2", "a");
        broken.dropResponses = true;
        int failures = 0;
        for (int i = 0; i < 60; i++) {
            HttpResponse<String> response = node.send("GET", "/schedule/today?day=1", "");
            failures += response.statusCode() == 201 ? 0 : 1;
        }
        int retries = broken.requestCount.get() - failures;
        assertTrue(retries >= 10 && retries <= 16, retries + " retries, " + failures + " failures");
    }

    @Test
    public void theOwnZoneIsPreferredAtEqualLoad() throws Exception {
        FakeServer own = addServer("b1", "a");
        FakeServer far = addServer("b2", "c");
        for (int i = 0; i < 40; i++) {
            node.send("GET", "/schedule/today", "");
        }
        assertTrue(own.requestCount.get() > far.requestCount.get(), own.requestCount + " " + far.requestCount);
    }

    @Test
    public void aRequestWhoseDependencyIsUnavailableIsNotDispatched() throws Exception {
        FakeServer server = addServer("b1", "a");
        node.servers.clear();
        node.servers.add(server.toBackendServer("payments", "p1", "a"));
        HttpResponse<String> response = node.send("POST", "/payments", "{}", "Idempotency-Key", "k");
        assertEquals(response.statusCode(), 503);
        assertEquals(readError(response).path("type").asText(), "dependency_unavailable");
        assertEquals(readError(response).path("ran").asText(), "no");
        assertEquals(server.requestCount.get(), 0);
    }

    /** Guards against a path that matches an idempotent route here and another route at the backend server. */
    @Test
    public void aPathWithDotSegmentsIsRefused() throws Exception {
        addServer("b1", "a");
        assertEquals(node.send("GET", "/schedule/%2e%2e/bookings", "").statusCode(), 400);
        assertEquals(node.send("GET", "/schedule//x", "").statusCode(), 400);
    }

    private FakeServer addServer(String id, String zone) throws IOException {
        FakeServer server = new FakeServer(id);
        servers.put(id, server);
        node.servers.add(server.toBackendServer("bookings", id, zone));
        return server;
    }

    private static BackendServer createClosedServer(String id) throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return toBackendServer(id, socket.getLocalPort());
        }
    }

    private static BackendServer toBackendServer(String id, int port) {
        return new BackendServer(id, "bookings", WorkerRole.PLAIN, "127.0.0.1", port, "a", false);
    }

    private static JsonNode readError(HttpResponse<String> response) {
        return Json.tryRead(response.body()).orElseThrow().path("error");
    }

    /** Echoes requests as a plain backend server. */
    private static final class FakeServer {
        final AtomicInteger requestCount = new AtomicInteger();
        volatile boolean dropResponses;
        volatile int delayMillis;
        volatile int padding;
        volatile int status = 201;

        private final String id;
        private final HttpServer server;
        private final ExecutorService threads = Executors.newCachedThreadPool();

        FakeServer(String id) throws IOException {
            this.id = id;
            server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
            server.setExecutor(threads);
            server.createContext("/", this::handle);
            server.start();
        }

        BackendServer toBackendServer(String service, String name, String zone) {
            int port = server.getAddress().getPort();
            return new BackendServer(name, service, WorkerRole.PLAIN, "127.0.0.1", port, zone, false);
        }

        void close() {
            server.stop(0);
            threads.shutdownNow();
        }

        private void handle(HttpExchange exchange) throws IOException {
            requestCount.incrementAndGet();
            String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String text = id + " " + exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + key + " "
                    + body + "x".repeat(padding);
            sleep();
            if (!dropResponses) {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(status, bytes.length);
                exchange.getResponseBody().write(bytes);
            }
            exchange.close();
        }

        private void sleep() {
            try {
                Thread.sleep(delayMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
