package org.magnoliavane.json;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and writes JSON.
 *
 * <p>Thread-safe.
 */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Reads a value.
     *
     * @param bytes the JSON text in UTF-8
     * @return the value
     * @throws IOException when the text is malformed
     */
    public static JsonNode read(byte[] bytes) throws IOException {
        return MAPPER.readTree(bytes);
    }

    /**
     * Reads a value that may be malformed, such as one sent by a backend server.
     *
     * @param text the JSON text
     * @return the value; empty when the text is malformed or contains no value
     */
    public static Optional<JsonNode> tryRead(String text) {
        try {
            return Optional.of(MAPPER.readTree(text)).filter(n -> !n.isMissingNode());
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /**
     * Writes a value.
     *
     * @param value the value
     * @return the JSON text in UTF-8
     */
    public static byte[] write(JsonNode value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree cannot be serialized", e);
        }
    }
}
