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
 * An answer of a node, with the time that it took.
 *
 * @param response the response
 * @param millis the time from sending the request to the whole response
 */
record Answer(HttpResponse response, long millis) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static Answer to(Endpoint node, HttpRequest request) throws IOException {
        long start = System.nanoTime();
        HttpResponse response = node.send(request);
        return new Answer(response, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
    }

    int status() {
        return response.status();
    }

    String ran() throws IOException {
        return error().path("ran").asText();
    }

    /** Checks that the caller is told what happened, what to do, and whether it may come back. */
    void assertRefused(String ran, boolean comeBack, long withinMillis) throws IOException {
        assertTrue(status() >= 400, toString());
        assertEquals(ran(), ran, toString());
        assertFalse(error().path("remedy").asText().isEmpty(), toString());
        assertEquals(response.findHeader("retry-after").isPresent(), comeBack, toString());
        assertEquals(error().has("retry_after_millis"), comeBack, toString());
        assertTrue(millis <= withinMillis, "late: " + this);
    }

    @Override
    public String toString() {
        return status() + " after " + millis + " ms: " + response.getText();
    }

    private JsonNode error() throws IOException {
        return MAPPER.readTree(response.body()).path("error");
    }
}
