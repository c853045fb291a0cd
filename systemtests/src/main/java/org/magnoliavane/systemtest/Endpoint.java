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
 * Sends requests to one HTTP server and waits for the answers.
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
     * Gets the address of the server.
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
     * Creates a request to this server.
     *
     * @param method the HTTP method
     * @param path the path with its query
     * @return the request
     */
    public HttpRequest request(String method, String path) {
        return HttpRequest.of(method, host, port, path).withTimeoutMillis(TIMEOUT_MILLIS);
    }

    /**
     * Sends a request and waits.
     *
     * @param request the request
     * @return the response
     * @throws IOException when there is no complete response
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
     * Gets a JSON document.
     *
     * @param path the path with its query
     * @return the document
     * @throws IOException when there is no answer with status 200
     */
    public JsonNode get(String path) throws IOException {
        HttpResponse response = send(request("GET", path));
        if (response.status() != 200) {
            throw new IOException("GET " + path + " gave " + response.status() + ": " + response.getText());
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
     * @throws IOException when there is no complete response
     */
    public HttpResponse send(String method, String path, Object document, Map<String, String> headers)
            throws IOException {
        HttpRequest request = request(method, path).withBody("application/json", toBytes(document));
        for (Map.Entry<String, String> header : headers.entrySet()) {
            request = request.withHeader(header.getKey(), header.getValue());
        }
        return send(request);
    }

    /**
     * Sends a command to the control endpoint of an emulator.
     *
     * @param document the faults to set
     */
    public void control(Map<String, ?> document) {
        try {
            HttpResponse response = send("POST", "/control", document, Map.of());
            if (response.status() >= 300) {
                throw new IOException("control gave " + response.status() + ": " + response.getText());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes a document as JSON.
     *
     * @param document the document; a text is taken as it is
     * @return the JSON in UTF-8
     */
    public static byte[] toBytes(Object document) {
        try {
            return document instanceof String text
                    ? text.getBytes(StandardCharsets.UTF_8)
                    : MAPPER.writeValueAsBytes(document);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static JsonNode parse(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
