package org.magnoliavane.systemtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;

/**
 * Sends requests to one HTTP server and waits for the responses.
 *
 * <p>Thread-safe.
 */
public final class Endpoint {
    private static final long TIMEOUT_MILLIS = 30_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client;
    private final String host;
    private final int port;

    /**
     * Creates an endpoint.
     *
     * @param client the client to send with
     * @param host the IP address of the server
     * @param port the TCP port of the server
     */
    public Endpoint(HttpClient client, String host, int port) {
        this.client = client;
        this.host = host;
        this.port = port;
    }

    /**
     * Gets the base URL of the server.
     *
     * @return the URL without a path
     */
    public String getUrl() {
        return "http://" + host + ":" + port;
    }

    /**
     * Gets the TCP port of the server.
     *
     * @return the port
     */
    public int getPort() {
        return port;
    }

    /**
     * Creates a request to this server, with a timeout of 30 s.
     *
     * @param method the HTTP method
     * @param path the path with its query string
     * @return the request
     */
    public HttpRequest createRequest(String method, String path) {
        return HttpRequest.of(method, host, port, path).withTimeoutMillis(TIMEOUT_MILLIS);
    }

    /**
     * Sends a request and waits for the response.
     *
     * @param request the request
     * @return the response
     * @throws IOException when no complete response arrives in time
     */
    public HttpResponse send(HttpRequest request) throws IOException {
        try {
            return client.send(request).get(TIMEOUT_MILLIS + 1000, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("no response in time", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Gets a JSON document with a GET request.
     *
     * @param path the path with its query string
     * @return the document
     * @throws IOException when no response with status 200 arrives
     */
    public JsonNode getJson(String path) throws IOException {
        HttpResponse response = send(createRequest("GET", path));
        if (response.status() != 200) {
            throw new IOException("GET " + path + " returned status " + response.status() + ": " + response.getText());
        }
        return MAPPER.readTree(response.body());
    }

    /**
     * Sends a JSON document.
     *
     * @param method the HTTP method
     * @param path the path
     * @param document the document
     * @param headers the headers to add
     * @return the response
     * @throws IOException when no complete response arrives in time
     */
    public HttpResponse send(String method, String path, Object document, Map<String, String> headers)
            throws IOException {
        HttpRequest request = createRequest(method, path).withBody("application/json", toJsonBytes(document));
        for (Map.Entry<String, String> header : headers.entrySet()) {
            request = request.withHeader(header.getKey(), header.getValue());
        }
        return send(request);
    }

    /**
     * Sets faults at an emulator through its path {@code /control}.
     *
     * @param faults the names and values of the faults
     */
    public void setFaults(Map<String, ?> faults) {
        try {
            HttpResponse response = send("POST", "/control", faults, Map.of());
            if (response.status() >= 300) {
                throw new IOException("POST /control returned status " + response.status() + ": " + response.getText());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Serializes a document as JSON.
     *
     * @param document the document; a string is assumed to be JSON already
     * @return the JSON text in UTF-8
     */
    public static byte[] toJsonBytes(Object document) {
        try {
            return document instanceof String text
                    ? text.getBytes(StandardCharsets.UTF_8)
                    : MAPPER.writeValueAsBytes(document);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static JsonNode parseJson(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
