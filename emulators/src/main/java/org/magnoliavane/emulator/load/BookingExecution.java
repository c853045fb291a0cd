package org.magnoliavane.emulator.load;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.emulator.http.Json;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;

/**
 * Executes a booking as its caller. It retries with the same idempotency key at another node when there is no response,
 * or when the outcome is unknown and the response gives a retry time.
 *
 * <p>Not thread-safe. An execution has at most one request in progress.
 */
final class BookingExecution {
    private static final String YES = "yes";
    private static final String NO = "no";
    private static final String UNKNOWN = "unknown";
    private static final String UNANSWERED = "unanswered";
    private static final double NANOS_PER_MILLI = 1_000_000;

    private final LoadContext context;
    private final PlannedRequest request;
    private final long arrivalNanos;
    private final Consumer<BookingReport> reportListener;
    private NodeAddresses.Address node;
    private String key;
    private int attempts;

    BookingExecution(LoadContext context, PlannedRequest request, long arrivalNanos, Consumer<BookingReport> reports) {
        this.context = context;
        this.request = request;
        this.arrivalNanos = arrivalNanos;
        this.reportListener = reports;
    }

    void start() {
        node = context.addresses().choose(node);
        if (key == null) {
            // The key is random, because a second run with the same seed would repeat a key generated from the seed.
            String prefix = node.runToken().isEmpty() ? "" : node.runToken() + "/";
            key = prefix + UUID.randomUUID();
        }
        attempts++;
        byte[] body = ("{\"booking\":\"" + request.check() + "\"}").getBytes(StandardCharsets.UTF_8);
        HttpRequest http = context.createRequest("POST", node, request.path())
                .withBody("application/json", body)
                .withHeader("Idempotency-Key", key)
                .withTimeoutMillis(context.options().getBookingTimeoutMillis());
        context.http().send(http).whenComplete((response, cause) -> {
            if (cause != null) {
                scheduleRetry(context.options().getReconnectMillis(), UNANSWERED, false);
            } else {
                handleResponse(response);
            }
        });
    }

    private void handleResponse(HttpResponse response) {
        if (response.status() / 100 == 2) {
            finish(YES, hasOtherKey(response.body()), false);
            return;
        }
        Optional<ErrorBody> error = ErrorBody.parse(response.body());
        String ran = error.map(ErrorBody::ran).filter(text -> !text.isEmpty()).orElse(UNKNOWN);
        long retryAfterMillis = error.map(ErrorBody::retryAfterMillis).orElse(-1L);
        if (ran.equals(UNKNOWN) && retryAfterMillis >= 0) {
            scheduleRetry(Math.max(retryAfterMillis, 1), UNKNOWN, true);
            return;
        }
        finish(ran, false, ran.equals(NO) && retryAfterMillis >= 0);
    }

    private void scheduleRetry(long pauseMillis, String outcome, boolean retryAfter) {
        if (getElapsedMillis() + pauseMillis > context.options().getTimeoutMillis()) {
            finish(outcome, false, retryAfter);
            return;
        }
        context.timers().schedule(pauseMillis, this::start);
    }

    private boolean hasOtherKey(byte[] body) {
        try {
            JsonNode answered = Json.parseTree(body).path("key");
            return answered.isTextual() && !answered.asText().equals(key);
        } catch (java.io.IOException e) {
            return true;
        }
    }

    private void finish(String ran, boolean crossed, boolean retryAfter) {
        reportListener.accept(new BookingReport(key, ran, crossed, retryAfter, attempts - 1, getElapsedMillis()));
    }

    private double getElapsedMillis() {
        return (System.nanoTime() - arrivalNanos) / NANOS_PER_MILLI;
    }
}
