package org.magnoliavane.node.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import org.magnoliavane.BackendServer;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.json.Json;

/** Implements the engine protocol as one worker, with faults that tests enable. */
final class FakeEngine implements AutoCloseable {
    final Map<String, Attempt> attempts = new ConcurrentHashMap<>();
    final List<String> cancelled = new CopyOnWriteArrayList<>();
    final List<String> prefills = new CopyOnWriteArrayList<>();
    final String id;
    volatile int stepMillis = 2;
    volatile int tokenCharacters;
    volatile int prefillMillis;
    volatile String tokenPrefix = " w";
    volatile int prefillStatus = 200;
    volatile boolean memoryFull;
    volatile boolean stallTransfer;
    /** Stops writing on a connection after this many tokens, once, and keeps it open. */
    volatile int stallAfterTokens = -1;
    /** Closes a connection after this many tokens, once. */
    volatile int closeAfterTokens = -1;
    /** Responds to requests of these kinds in place of the protocol. */
    final Map<RequestKind, HttpHandler> faults = new ConcurrentHashMap<>();

    private final WorkerRole role;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();

    /** Kinds of requests. */
    enum RequestKind {
        PREFILL,
        DECODE,
        CANCEL,
        STATUS,
        RESUME;

        private static RequestKind ofPath(String path) {
            if (path.equals("/v1/prefills")) {
                return PREFILL;
            }
            if (path.equals("/v1/decodes")) {
                return DECODE;
            }
            if (path.startsWith("/v1/attempts/")) {
                return CANCEL;
            }
            return path.endsWith("/events") ? RESUME : STATUS;
        }
    }

    FakeEngine(String id, WorkerRole role) throws IOException {
        this.id = id;
        this.role = role;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    BackendServer toBackendServer() {
        return new BackendServer(
                id, "briefings", role, "127.0.0.1", server.getAddress().getPort(), "a", false);
    }

    @Override
    public void close() {
        attempts.values().forEach(Attempt::cancel);
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        JsonNode body = Json.read(exchange.getRequestBody().readAllBytes());
        RequestKind kind = RequestKind.ofPath(path);
        HttpHandler fault = faults.get(kind);
        try {
            if (fault != null) {
                fault.handle(exchange);
                return;
            }
            switch (kind) {
                case PREFILL -> prefill(exchange, body);
                case DECODE -> decode(exchange, body);
                case CANCEL -> cancel(exchange, path.substring("/v1/attempts/".length()));
                default -> sendStateOrResume(exchange, path.split("/"));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void prefill(HttpExchange exchange, JsonNode body) throws IOException, InterruptedException {
        prefills.add(body.path("attempt").asText());
        Thread.sleep(prefillMillis);
        send(exchange, prefillStatus, Json.object().put("prefill", "p1").put("cached_tokens", 3));
    }

    private void decode(HttpExchange exchange, JsonNode body) throws IOException, InterruptedException {
        if (memoryFull) {
            ObjectNode error = Json.object();
            error.putObject("error").put("kind", "memory_full");
            send(exchange, 409, error);
            return;
        }
        Attempt attempt = new Attempt(body);
        attempts.put(body.path("attempt").asText(), attempt);
        exchange.sendResponseHeaders(200, 0);
        while (stallTransfer && !attempt.ended) {
            write(exchange, ": waiting\n\n");
            Thread.sleep(100);
        }
        write(exchange, "event: imported\ndata: {\"transfer_millis\":1}\n\n");
        attempt.generate();
        stream(exchange, attempt, 0);
    }

    private void sendStateOrResume(HttpExchange exchange, String[] parts) throws IOException, InterruptedException {
        Attempt attempt = attempts.get(parts[3]);
        if (attempt == null) {
            send(exchange, 404, Json.object());
        } else if (parts.length == 4) {
            send(
                    exchange,
                    200,
                    Json.object()
                            .put("attempt", parts[3])
                            .put("owner", attempt.owner)
                            .put("caller", attempt.caller)
                            .put("position", attempt.position));
        } else {
            String query = exchange.getRequestURI().getQuery();
            attempt.owner = query.substring(query.indexOf("owner=") + 6);
            attempt.connection++;
            exchange.sendResponseHeaders(200, 0);
            stream(exchange, attempt, Integer.parseInt(query.substring(5, query.indexOf('&'))));
        }
    }

    private void stream(HttpExchange exchange, Attempt attempt, int from) throws IOException, InterruptedException {
        int ownConnection = attempt.connection;
        long lastWrite = System.nanoTime();
        for (int at = from + 1; at <= attempt.max; at++) {
            while (attempt.position < at && !attempt.ended && attempt.connection == ownConnection) {
                Thread.sleep(1);
                if (System.nanoTime() - lastWrite > 500_000_000L) {
                    write(exchange, ": idle\n\n");
                    lastWrite = System.nanoTime();
                }
            }
            if (attempt.ended || attempt.connection != ownConnection) {
                return;
            }
            if (at - 1 == closeAfterTokens) {
                closeAfterTokens = -1;
                return;
            }
            if (at - 1 == stallAfterTokens) {
                stallAfterTokens = -1;
                Thread.sleep(10_000);
                return;
            }
            write(exchange, "id: " + at + "\nevent: token\ndata: " + attempt.createToken(at) + "\n\n");
            lastWrite = System.nanoTime();
        }
        write(
                exchange,
                "event: done\ndata: {\"finish_reason\":\"stop\",\"prompt_tokens\":7,\"completion_tokens\":"
                        + attempt.max + "}\n\n");
    }

    private void cancel(HttpExchange exchange, String name) throws IOException {
        cancelled.add(name);
        Attempt attempt = attempts.remove(name);
        if (attempt != null) {
            attempt.cancel();
        }
        send(exchange, 200, Json.object().put("cancelled", attempt != null));
    }

    private static void send(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = Json.write(body);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private static void write(HttpExchange exchange, String text) throws IOException {
        OutputStream out = exchange.getResponseBody();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Holds one decode, which continues independently of connections. */
    final class Attempt {
        final String caller;
        final int max;
        volatile String owner;
        volatile int position;
        volatile int connection;
        volatile boolean ended;

        Attempt(JsonNode body) {
            caller = body.path("caller").asText();
            owner = body.path("owner").asText();
            max = body.path("max_tokens").asInt();
        }

        void cancel() {
            ended = true;
        }

        void generate() {
            threads.execute(() -> {
                while (position < max && !ended) {
                    position++;
                    sleep();
                }
            });
        }

        String createToken(int at) {
            String text = tokenPrefix + at + "x".repeat(tokenCharacters);
            return "{\"position\":" + at + ",\"text\":\"" + text + "\"}";
        }

        private void sleep() {
            try {
                Thread.sleep(stepMillis);
            } catch (InterruptedException e) {
                ended = true;
            }
        }
    }
}
