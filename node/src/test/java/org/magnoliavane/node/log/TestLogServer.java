package org.magnoliavane.node.log;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.magnoliavane.node.settings.HttpEndpoint;

/** Serves a {@link TestLog} over the HTTP protocol of the log service, with forced statuses and ignored requests. */
public final class TestLogServer implements AutoCloseable {
    private final TestLog log = new TestLog();
    private volatile int forcedStatus;
    private final AtomicInteger ignoredCount = new AtomicInteger();
    private volatile boolean unresponsive;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server;

    public TestLogServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/v1/streams/configuration/records", this::handle);
        server.setExecutor(threads);
        server.start();
    }

    public TestLog getLog() {
        return log;
    }

    public void setForcedStatus(int status) {
        forcedStatus = status;
    }

    public void setUnresponsive(boolean value) {
        unresponsive = value;
    }

    public int getIgnoredCount() {
        return ignoredCount.get();
    }

    public HttpEndpoint getEndpoint() {
        return new HttpEndpoint("127.0.0.1", server.getAddress().getPort());
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (unresponsive) {
            ignoredCount.incrementAndGet();
            return;
        }
        if (forcedStatus != 0) {
            sendResponse(exchange, forcedStatus, "{}");
            return;
        }
        try {
            if (exchange.getRequestMethod().equals("POST")) {
                long offset =
                        log.append("configuration", body).toCompletableFuture().join();
                sendResponse(exchange, 200, "{\"offset\":" + offset + "}");
                return;
            }
            sendRecords(exchange, parseQuery(exchange.getRequestURI().getQuery()));
        } catch (CompletionException e) {
            boolean responseLost = e.getCause() instanceof LogUnavailableException u && u.isOutcomeUnknown();
            if (responseLost) {
                exchange.close();
            } else {
                sendResponse(exchange, 503, "{}");
            }
        }
    }

    private void sendRecords(HttpExchange exchange, Map<String, Long> query) throws IOException {
        LogPage page = log.read("", query.get("from"), query.get("limit").intValue(), query.get("wait_millis"))
                .toCompletableFuture()
                .join();
        if (query.get("from") < page.firstOffset()) {
            sendResponse(exchange, 410, "{\"first_offset\":" + page.firstOffset() + "}");
            return;
        }
        StringBuilder records = new StringBuilder();
        for (LogRecord record : page.records()) {
            records.append(records.isEmpty() ? "" : ",")
                    .append("{\"offset\":")
                    .append(record.offset())
                    .append(",\"timestamp_millis\":")
                    .append(record.timestampMillis())
                    .append(",\"data\":\"")
                    .append(Base64.getEncoder().encodeToString(record.data()))
                    .append("\"}");
        }
        sendResponse(
                exchange,
                200,
                "{\"first_offset\":" + page.firstOffset() + ",\"next_offset\":" + page.nextOffset() + ",\"records\":["
                        + records + "]}");
    }

    private static Map<String, Long> parseQuery(String query) {
        Map<String, Long> values = new HashMap<>();
        for (String part : query.split("&")) {
            String[] pair = part.split("=");
            values.put(pair[0], Long.parseLong(pair[1]));
        }
        return values;
    }

    private static void sendResponse(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
