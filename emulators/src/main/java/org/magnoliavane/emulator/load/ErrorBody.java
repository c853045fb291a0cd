package org.magnoliavane.emulator.load;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.emulator.http.Json;

/**
 * Holds the parts of an error response that a caller evaluates.
 *
 * @param ran {@code no}, {@code yes} or {@code unknown}; the empty string when the response does not say
 * @param type the kind of the error
 * @param retryAfterMillis the time after which the caller may retry, in milliseconds; negative when the response does
 *     not say
 */
record ErrorBody(String ran, String type, long retryAfterMillis) {
    private static final String ABSENT = "";

    static Optional<ErrorBody> parse(byte[] body) {
        try {
            return fromJson(Json.parseTree(body));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    static Optional<ErrorBody> fromJson(JsonNode json) {
        JsonNode error = json.path("error");
        if (!error.isObject()) {
            return Optional.empty();
        }
        return Optional.of(new ErrorBody(
                error.path("ran").asText(ABSENT),
                error.path("type").asText(ABSENT),
                error.path("retry_after_millis").asLong(-1)));
    }
}
