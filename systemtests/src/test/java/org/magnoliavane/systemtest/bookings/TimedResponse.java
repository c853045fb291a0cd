package org.magnoliavane.systemtest.bookings;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.systemtest.Endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Holds a response of a node with the time that it took.
 *
 * @param response the response
 * @param millis the time from sending the request to the complete response, in milliseconds
 */
record TimedResponse(HttpResponse response, long millis) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static TimedResponse send(Endpoint node, HttpRequest request) throws IOException {
        long start = System.nanoTime();
        HttpResponse response = node.send(request);
        return new TimedResponse(response, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
    }

    int getStatus() {
        return response.status();
    }

    String getRan() throws IOException {
        return getError().path("ran").asText();
    }

    /** Checks that the response states whether the request ran, a remedy, and whether the caller may retry, in time. */
    void assertRejected(String ran, boolean mayRetry, long maxMillis) throws IOException {
        assertTrue(getStatus() >= 400, toString());
        assertEquals(getRan(), ran, toString());
        assertFalse(getError().path("remedy").asText().isEmpty(), toString());
        assertEquals(response.findHeader("retry-after").isPresent(), mayRetry, toString());
        assertEquals(getError().has("retry_after_millis"), mayRetry, toString());
        assertTrue(millis <= maxMillis, "late: " + this);
    }

    @Override
    public String toString() {
        return getStatus() + " after " + millis + " ms: " + response.getText();
    }

    private JsonNode getError() throws IOException {
        return MAPPER.readTree(response.body()).path("error");
    }
}
