package org.magnoliavane.node.placement;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.BackendServer;
import org.magnoliavane.http.Failures;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;

/**
 * Implements {@link EngineControl} with the HTTP protocol of the engines.
 *
 * <p>Thread-safe.
 */
final class HttpEngineControl implements EngineControl {
    private static final Logger LOG = System.getLogger(HttpEngineControl.class.getName());
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long REQUEST_TIMEOUT_MILLIS = 1000;

    private final HttpClient httpClient;

    HttpEngineControl(HttpClient httpClient) {
        this.httpClient = httpClient;
    }

    @Override
    public CompletionStage<EngineLoadReport> fetchLoad(BackendServer worker) {
        HttpRequest request = HttpRequest.of("GET", worker.host(), worker.port(), "/v1/load")
                .withTimeoutMillis(REQUEST_TIMEOUT_MILLIS);
        return httpClient
                .send(request)
                .thenApply(HttpEngineControl::parse)
                .exceptionallyCompose(HttpEngineControl::classify);
    }

    @Override
    public void cancel(BackendServer worker, String attempt) {
        HttpRequest request = HttpRequest.of("DELETE", worker.host(), worker.port(), "/v1/attempts/" + attempt)
                .withTimeoutMillis(REQUEST_TIMEOUT_MILLIS);
        httpClient.send(request).whenComplete((response, cause) -> {
            if (cause != null) {
                LOG.log(
                        Level.WARNING,
                        "Cancelling attempt {0} at worker {1} failed; retrying after the next load report. Cause: {2}",
                        attempt,
                        worker.id(),
                        cause.getMessage());
            }
        });
    }

    private static EngineLoadReport parse(HttpResponse response) {
        try {
            if (response.status() != 200) {
                throw new IOException("the engine responded with status " + response.status());
            }
            return MAPPER.readValue(response.body(), EngineLoadReport.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static CompletionStage<EngineLoadReport> classify(Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        // The client also reports a connect timeout as a ConnectException. Only one that is caused by a
        // ConnectException of the socket means that the port is closed.
        boolean refused = cause instanceof ConnectException && cause.getCause() instanceof ConnectException;
        return CompletableFuture.failedFuture(
                refused ? new ConnectionRefusedException(cause.getMessage(), cause) : cause);
    }
}
