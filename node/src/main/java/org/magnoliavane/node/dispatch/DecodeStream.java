package org.magnoliavane.node.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.BackendServer;
import org.magnoliavane.http.Failures;
import org.magnoliavane.http.HttpExchange;
import org.magnoliavane.http.ResponseListener;
import org.magnoliavane.http.ServerSentEvent;
import org.magnoliavane.http.ServerSentEventParser;
import org.magnoliavane.json.Json;

/**
 * Reads the event stream of one decode attempt. A connection that fails or becomes unresponsive is replaced by a new
 * one that resumes at the same position. The worker counts as failed only when the new connection fails as well, or when
 * several new ones in sequence are lost without a token.
 *
 * <p>Not thread-safe; all methods and all listener calls run on the serial executor of the request.
 */
final class DecodeStream {
    /** Idle time after which a connection is unresponsive: three missed comments, as engines send one every 500 ms. */
    static final long IDLE_TIMEOUT_MILLIS = 1500;

    private static final long IDLE_CHECK_INTERVAL_MILLIS = 250;

    /**
     * Number of new connections in sequence that were lost without a token after which the worker counts as failed. A
     * stalled stream has no token for some time, and may lose one connection meanwhile.
     */
    private static final int MAX_FRUITLESS_REPLACEMENTS = 2;

    private static final int MAX_ERROR_BODY_BYTES = 4096;

    private final EngineClient engineClient;
    private final ScheduledExecutorService timers;
    private final Executor serial;
    private final BackendServer worker;
    private final String attempt;
    private final Listener listener;
    /** The tokens received, from the one after the start position. */
    private final List<String> texts = new ArrayList<>();

    private int startPosition;
    private int position;
    private int fruitlessReplacements;
    private Connection connection;
    private ScheduledFuture<?> idleCheck;
    private boolean closed;

    DecodeStream(
            EngineClient engineClient,
            ScheduledExecutorService timers,
            Executor serial,
            BackendServer worker,
            String attempt,
            Listener listener) {
        this.engineClient = engineClient;
        this.timers = timers;
        this.serial = serial;
        this.worker = worker;
        this.attempt = attempt;
        this.listener = listener;
    }

    /** Receives the events of the stream. The last call is {@code onDone}, {@code onFailure} or {@code onTakenOver}. */
    interface Listener {

        /** Receives the notice that the decode worker has imported the KV cache. */
        void onImported();

        /** Receives a token; positions are consecutive. */
        void onToken(int tokenPosition, String text);

        /** Receives the end of the complete answer. */
        void onDone(String finishReason, int promptTokens, int completionTokens);

        /** Receives a failure of the attempt. */
        void onFailure(Failure failure, String message);

        /** Receives the notice that another node has taken over the stream. */
        void onTakenOver();
    }

    /** Kinds of failures of an attempt at its decode worker. */
    enum Failure {
        /** The worker has too little free KV cache memory. */
        MEMORY,
        /** The transfer of the KV cache failed. */
        TRANSFER,
        /** The attempt was cancelled at the engine. */
        CANCELLED,
        /** The worker refused the connection, so the request was not sent. */
        NOT_SENT,
        /** The worker refuses connections after it had accepted the attempt, which means that it has crashed. */
        CRASH,
        /** The worker failed in another way. */
        WORKER
    }

    /**
     * Opens the stream.
     *
     * @param request sends the decode request, with the given listener for its response
     */
    void open(Function<ResponseListener, HttpExchange> request) {
        connect(false, request);
        idleCheck = timers.scheduleWithFixedDelay(
                () -> serial.execute(this::checkIdleTime),
                IDLE_CHECK_INTERVAL_MILLIS,
                IDLE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Opens the stream of an existing attempt after a position. */
    void resumeAt(int from) {
        startPosition = from;
        position = from;
        open(received -> engineClient.resume(worker, attempt, from, received));
    }

    /** Gets the position after the last token received. */
    int getPosition() {
        return position;
    }

    /** Closes the connection. The engine continues the attempt until it is cancelled. */
    void close() {
        closed = true;
        if (idleCheck != null) {
            idleCheck.cancel(false);
        }
        if (connection != null) {
            connection.exchange.close();
        }
    }

    private void connect(boolean replacement, Function<ResponseListener, HttpExchange> request) {
        Connection next = new Connection(replacement);
        connection = next;
        next.exchange = request.apply(next);
    }

    private void checkIdleTime() {
        if (!closed && connection.exchange.getIdleMillis() > IDLE_TIMEOUT_MILLIS) {
            Connection unresponsive = connection;
            handleConnectionLoss(unresponsive, new IOException("no data received for " + IDLE_TIMEOUT_MILLIS + " ms"));
            unresponsive.exchange.close();
        }
    }

    private void handleConnectionLoss(Connection lost, IOException cause) {
        if (closed || lost != connection || lost.lost) {
            return;
        }
        lost.lost = true;
        if (cause instanceof ConnectException && !lost.replacement) {
            fail(Failure.NOT_SENT, cause.getMessage());
        } else if (lost.replacement && (!lost.receivedData || ++fruitlessReplacements >= MAX_FRUITLESS_REPLACEMENTS)) {
            fail(toFailure(cause), cause.getMessage());
        } else {
            engineClient
                    .fetchStatus(worker, attempt)
                    .whenComplete((attemptStatus, failure) -> serial.execute(() -> reconnect(attemptStatus, failure)));
        }
    }

    private void reconnect(Optional<DecodeAttemptStatus> attemptStatus, Throwable failure) {
        if (closed) {
            return;
        }
        if (failure != null) {
            fail(toFailure(failure), failure.getMessage());
        } else if (attemptStatus.isEmpty()) {
            fail(Failure.WORKER, "the engine no longer knows the attempt");
        } else if (!engineClient.isOwnedBySelf(attemptStatus.get())) {
            close();
            listener.onTakenOver();
        } else {
            connect(true, received -> engineClient.resume(worker, attempt, position, received));
        }
    }

    private void fail(Failure failure, String message) {
        close();
        listener.onFailure(failure, message);
    }

    private void handleEvent(ServerSentEvent event) {
        if (closed) {
            return;
        }
        JsonNode data = Json.tryRead(event.data()).orElse(Json.object());
        switch (event.event()) {
            case "imported":
                listener.onImported();
                break;
            case "token":
                handleToken(data);
                break;
            case "done":
                handleDone(data);
                break;
            case "error":
                fail(toFailure(data.path("kind").asText()), data.path("message").asText());
                break;
            default:
                break;
        }
    }

    private void handleToken(JsonNode data) {
        if (!data.path("position").isInt() || !data.path("text").isTextual()) {
            fail(Failure.WORKER, "received a token without position or text after token " + position);
            return;
        }
        int tokenPosition = data.path("position").asInt();
        String text = data.path("text").asText();
        if (isRepeated(tokenPosition, text)) {
            return;
        }
        if (tokenPosition != position + 1) {
            fail(Failure.WORKER, "received token " + tokenPosition + " after token " + position);
            return;
        }
        position = tokenPosition;
        fruitlessReplacements = 0;
        texts.add(text);
        listener.onToken(tokenPosition, text);
    }

    /** Returns whether a token is one that was received before. Another text at its position is that of another answer. */
    private boolean isRepeated(int tokenPosition, String text) {
        int index = tokenPosition - 1 - startPosition;
        return index >= 0 && index < texts.size() && texts.get(index).equals(text);
    }

    private void handleDone(JsonNode data) {
        boolean valid = data.path("finish_reason").isTextual()
                && data.path("prompt_tokens").isInt()
                && data.path("completion_tokens").isInt();
        if (!valid) {
            fail(Failure.WORKER, "received an end without reason or token counts after token " + position);
            return;
        }
        int completion = data.path("completion_tokens").asInt();
        if (completion != position) {
            fail(Failure.WORKER, "the answer ended after " + position + " of " + completion + " tokens");
            return;
        }
        close();
        listener.onDone(
                data.path("finish_reason").asText(), data.path("prompt_tokens").asInt(), completion);
    }

    private static Failure toFailure(Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        return cause instanceof ConnectException ? Failure.CRASH : Failure.WORKER;
    }

    private static Failure toFailure(String kind) {
        switch (kind) {
            case "prefill_lapsed":
            case "transfer_failed":
                return Failure.TRANSFER;
            case "memory_full":
                return Failure.MEMORY;
            case "cancelled":
                return Failure.CANCELLED;
            default:
                return Failure.WORKER;
        }
    }

    /** One connection to the engine. */
    private final class Connection implements ResponseListener {
        private final boolean replacement;
        private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
        private final ServerSentEventParser parser = new ServerSentEventParser(DecodeStream.this::handleEvent);
        private HttpExchange exchange;
        private int status;
        private boolean receivedData;
        private boolean lost;

        Connection(boolean replacement) {
            this.replacement = replacement;
        }

        @Override
        public void onHead(int received, Map<String, String> headers) {
            serial.execute(() -> status = received);
        }

        @Override
        public void onBytes(byte[] bytes) {
            serial.execute(() -> {
                if (closed || this != connection || lost) {
                    return;
                }
                if (status == 200) {
                    receivedData = true;
                    parser.feed(bytes);
                } else if (errorBody.size() < MAX_ERROR_BODY_BYTES) {
                    errorBody.writeBytes(bytes);
                }
            });
        }

        @Override
        public void onEnd() {
            serial.execute(() -> {
                if (closed || this != connection) {
                    return;
                }
                if (status == 200) {
                    handleConnectionLoss(this, new IOException("the stream ended before its last event"));
                } else {
                    handleErrorResponse();
                }
            });
        }

        private void handleErrorResponse() {
            JsonNode error = Json.tryRead(errorBody.toString(StandardCharsets.UTF_8))
                    .orElse(Json.object())
                    .path("error");
            String kind = error.path("kind").asText();
            fail(
                    toFailure(kind),
                    "responded with status " + status + " " + kind + " "
                            + error.path("message").asText());
        }

        @Override
        public void onFailure(IOException cause) {
            serial.execute(() -> handleConnectionLoss(this, cause));
        }
    }
}
