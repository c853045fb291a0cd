package org.magnoliavane.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Represents an HTTP request.
 *
 * <p>Immutable and thread-safe as long as the body array is not modified.
 *
 * @param method the HTTP method
 * @param host the IP address of the server
 * @param port the TCP port of the server
 * @param path the path with its query
 * @param headers the headers by name, without {@code Content-Length}; a {@code Host} header replaces the default of
 *     {@code host:port}
 * @param body the body; may be empty
 * @param timeoutMillis the time in milliseconds within which the response must be complete; 0 means no timeout
 */
public record HttpRequest(
        String method,
        String host,
        int port,
        String path,
        Map<String, String> headers,
        byte[] body,
        long timeoutMillis) {

    private static final byte[] EMPTY = new byte[0];

    /**
     * Creates a request without headers, body and timeout.
     *
     * @param method the HTTP method
     * @param host the IP address of the server
     * @param port the TCP port of the server
     * @param path the path with its query
     * @return the request
     */
    public static HttpRequest of(String method, String host, int port, String path) {
        return new HttpRequest(method, host, port, path, Map.of(), EMPTY, 0);
    }

    /**
     * Returns a copy with an additional header. A header of the same name is replaced.
     *
     * @param name the header name
     * @param value the header value
     * @return the copy
     */
    public HttpRequest withHeader(String name, String value) {
        Map<String, String> copy = new LinkedHashMap<>(headers);
        copy.put(name, value);
        return new HttpRequest(method, host, port, path, copy, body, timeoutMillis);
    }

    /**
     * Returns a copy with a body.
     *
     * @param contentType the media type of the body
     * @param bytes the body
     * @return the copy
     */
    public HttpRequest withBody(String contentType, byte[] bytes) {
        HttpRequest copy = withHeader("Content-Type", contentType);
        return new HttpRequest(method, host, port, path, copy.headers(), bytes, timeoutMillis);
    }

    /**
     * Returns a copy with a timeout for the whole exchange.
     *
     * @param millis the timeout in milliseconds; 0 means no timeout
     * @return the copy
     */
    public HttpRequest withTimeoutMillis(long millis) {
        return new HttpRequest(method, host, port, path, headers, body, millis);
    }
}
