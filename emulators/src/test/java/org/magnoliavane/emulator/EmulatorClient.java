package org.magnoliavane.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.emulator.http.Json;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;

/** Sends requests to an emulator on the loopback interface. */
public final class EmulatorClient implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    private final HttpClient http;

    public EmulatorClient() throws IOException {
        http = HttpClient.open("emulator-test");
    }

    public HttpClient getHttp() {
        return http;
    }

    public static HttpRequest createRequest(Emulator emulator, String method, String path, String body) {
        HttpRequest request = HttpRequest.of(method, HOST, emulator.getPort(), path);
        return body.isEmpty() ? request : request.withBody("application/json", body.getBytes(StandardCharsets.UTF_8));
    }

    public CompletableFuture<HttpResponse> send(Emulator emulator, String method, String path, String body) {
        return http.send(createRequest(emulator, method, path, body).withTimeoutMillis(5000));
    }

    public HttpResponse sendAndAwait(Emulator emulator, String method, String path, String body) throws Exception {
        return send(emulator, method, path, body).get(10, TimeUnit.SECONDS);
    }

    public JsonNode fetchJson(Emulator emulator, String method, String path, String body) throws Exception {
        return Json.parseTree(sendAndAwait(emulator, method, path, body).body());
    }

    @Override
    public void close() throws IOException {
        http.close();
    }
}
