package org.magnoliavane.node.log;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.http.Failures;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.node.settings.HttpEndpoint;

/**
 * Accesses the log service over HTTP. Each request uses a connection of its own and has a timeout, so that an unresponsive
 * connection delays only one request.
 *
 * <p>Thread-safe.
 */
public final class HttpLogService implements LogService {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long APPEND_TIMEOUT_MILLIS = 3000;
    // A read times out after its wait time plus a margin. The margin is short at first, so that an unresponsive
    // connection is detected early. It doubles with each timeout, so that reads succeed while the log service is slow.
    private static final long MIN_READ_MARGIN_MILLIS = 1000;
    private static final long MAX_READ_MARGIN_MILLIS = 16_000;
    private static final int MAX_READ_RESTARTS = 3;
    private static final String REMEDY = "; check the log service, then try again";

    private final HttpClient client;
    private final HttpEndpoint endpoint;
    private final AtomicLong readMarginMillis = new AtomicLong(MIN_READ_MARGIN_MILLIS);

    /**
     * Creates a client of a log service.
     *
     * @param client the HTTP client, which this object does not close
     * @param endpoint the address of the log service
     */
    public HttpLogService(HttpClient client, HttpEndpoint endpoint) {
        this.client = client;
        this.endpoint = endpoint;
    }

    @Override
    public CompletionStage<Long> append(String stream, byte[] data) {
        HttpRequest request = HttpRequest.of("POST", endpoint.host(), endpoint.port(), toPath(stream))
                .withBody("application/octet-stream", data)
                .withTimeoutMillis(APPEND_TIMEOUT_MILLIS);
        return client.send(request).handle((response, cause) -> {
            if (cause != null) {
                throw createFailure(
                        "append to " + stream, cause, !(Failures.unwrap(cause) instanceof ConnectException));
            }
            return toOffset(stream, response);
        });
    }

    private Long toOffset(String stream, HttpResponse response) {
        int status = response.status();
        if (status < 200 || status > 299) {
            // With these statuses the record was rejected. Any other server error may follow a successful append.
            boolean rejected = status == 429 || status == 503 || status < 500;
            throw createFailure("append to " + stream, new IOException("status " + status), !rejected);
        }
        JsonNode offset = parse(response).path("offset");
        if (!offset.canConvertToLong() || !offset.isIntegralNumber()) {
            throw createFailure("append to " + stream, new IOException("response without \"offset\""), true);
        }
        return offset.longValue();
    }

    @Override
    public CompletionStage<LogPage> read(String stream, long from, int limit, long waitMillis) {
        return read(stream, from, limit, waitMillis, MAX_READ_RESTARTS);
    }

    private CompletableFuture<LogPage> read(String stream, long from, int limit, long waitMillis, int restarts) {
        long margin = readMarginMillis.get();
        String query = "?from=" + from + "&limit=" + limit + "&wait_millis=" + waitMillis;
        HttpRequest request = HttpRequest.of("GET", endpoint.host(), endpoint.port(), toPath(stream) + query)
                .withTimeoutMillis(waitMillis + margin);
        return client.send(request)
                .handle((response, cause) -> {
                    if (cause != null) {
                        updateReadMargin(margin, Failures.unwrap(cause) instanceof SocketTimeoutException);
                        throw createFailure("read of " + stream, cause, false);
                    }
                    updateReadMargin(margin, false);
                    if (response.status() == 410 && restarts > 0) {
                        long first = parse(response).path("first_offset").asLong(-1);
                        if (first > from) {
                            return read(stream, first, limit, waitMillis, restarts - 1);
                        }
                    }
                    return CompletableFuture.completedFuture(toPage(stream, response));
                })
                .thenCompose(page -> page);
    }

    private void updateReadMargin(long margin, boolean timedOut) {
        long next = timedOut ? Math.min(2 * margin, MAX_READ_MARGIN_MILLIS) : MIN_READ_MARGIN_MILLIS;
        readMarginMillis.set(next);
    }

    private LogPage toPage(String stream, HttpResponse response) {
        if (response.status() != 200) {
            throw createFailure("read of " + stream, new IOException("status " + response.status()), false);
        }
        JsonNode body = parse(response);
        List<LogRecord> records = new ArrayList<>();
        try {
            for (JsonNode record : body.path("records")) {
                records.add(new LogRecord(
                        record.required("offset").longValue(),
                        record.path("timestamp_millis").asLong(),
                        record.required("data").binaryValue()));
            }
            return new LogPage(
                    body.required("first_offset").longValue(),
                    body.required("next_offset").longValue(),
                    List.copyOf(records));
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            throw createFailure("read of " + stream, e, false);
        }
    }

    private static JsonNode parse(HttpResponse response) {
        try {
            return MAPPER.readTree(response.body());
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }

    private static String toPath(String stream) {
        return "/v1/streams/" + stream + "/records";
    }

    private CompletionException createFailure(String action, Throwable cause, boolean outcomeUnknown) {
        Throwable root = Failures.unwrap(cause);
        String message = action + " at the log service " + endpoint + " failed: " + root.getMessage() + REMEDY;
        return new CompletionException(new LogUnavailableException(message, outcomeUnknown, root));
    }
}
