package org.magnoliavane.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/**
 * Represents a complete HTTP response.
 *
 * <p>Immutable and thread-safe as long as the body array is not modified.
 *
 * @param status the status code
 * @param headers the headers by lower-case name
 * @param body the body; may be empty
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {

    /**
     * Gets the body as text.
     *
     * @return the body decoded as UTF-8
     */
    public String getText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Finds a header.
     *
     * @param name the lower-case name
     * @return the value, or empty if the response has no such header
     */
    public Optional<String> findHeader(String name) {
        return Optional.ofNullable(headers.get(name));
    }
}
