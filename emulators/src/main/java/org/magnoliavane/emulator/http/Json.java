package org.magnoliavane.emulator.http;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads and writes the JSON of the emulators. Record components map to fields in snake case; absent values are left
 * out.
 *
 * <p>Thread-safe.
 */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private Json() {}

    /**
     * Parses a value and ignores unknown fields.
     *
     * @param bytes the JSON text
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws IOException when the text is not valid for the type
     */
    public static <T> T parse(byte[] bytes, Class<T> type) throws IOException {
        T value = MAPPER.readValue(bytes, type);
        if (value == null) {
            throw new IOException("expected a JSON object, got null");
        }
        return value;
    }

    /**
     * Parses a value and rejects unknown fields, so that a misspelt fault is not ignored.
     *
     * @param bytes the JSON text
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws IOException when the text is not valid for the type
     */
    public static <T> T parseStrictly(byte[] bytes, Class<T> type) throws IOException {
        T value = MAPPER.readerFor(type)
                .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .readValue(bytes);
        if (value == null) {
            throw new IOException("expected a JSON object, got null");
        }
        return value;
    }

    /**
     * Parses JSON into a tree.
     *
     * @param bytes the JSON text
     * @return the tree
     * @throws IOException when the text is not JSON
     */
    public static JsonNode parseTree(byte[] bytes) throws IOException {
        return MAPPER.readTree(bytes);
    }

    /**
     * Writes a value as JSON.
     *
     * @param value the value
     * @return the JSON text
     */
    public static byte[] toBytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes a value as JSON.
     *
     * @param value the value
     * @return the JSON text
     */
    public static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
