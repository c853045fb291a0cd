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
 * Speaks the engine protocol for the coordinator.
 *
 * <p>Thread-safe.
 */
final class HttpEngines implements Engines {
    private static final Logger LOG = System.getLogger(HttpEngines.class.getName());
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 1000;

    private final HttpClient http;

    HttpEngines(HttpClient http) {
        this.http = http;
    }

    @Override
    public CompletionStage<EngineReport> load(BackendServer worker) {
        HttpRequest request =
                HttpRequest.of("GET", worker.host(), worker.port(), "/v1/load").withTimeoutMillis(TIMEOUT_MILLIS);
        return http.send(request).thenApply(HttpEngines::parse).exceptionallyCompose(HttpEngines::classify);
    }

    @Override
    public void cancel(BackendServer worker, String attempt) {
        HttpRequest request = HttpRequest.of("DELETE", worker.host(), worker.port(), "/v1/attempts/" + attempt)
                .withTimeoutMillis(TIMEOUT_MILLIS);
        http.send(request).whenComplete((response, cause) -> {
            if (cause != null) {
                LOG.log(
                        Level.WARNING,
                        "Attempt {0} could not be cancelled at worker {1}; the next load report tries again. Cause: {2}",
                        attempt,
                        worker.id(),
                        cause.getMessage());
            }
        });
    }

    private static EngineReport parse(HttpResponse response) {
        try {
            if (response.status() != 200) {
                throw new IOException("the engine answered with status " + response.status());
            }
            return MAPPER.readValue(response.body(), EngineReport.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static CompletionStage<EngineReport> classify(Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        // The client also reports a connection that timed out as a ConnectException; only the one of the socket itself
        // says that the port is closed.
        boolean refused = cause instanceof ConnectException && cause.getCause() instanceof ConnectException;
        return CompletableFuture.failedFuture(refused ? new RefusedException(cause.getMessage(), cause) : cause);
    }
}
