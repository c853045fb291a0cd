package org.magnoliavane.node.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
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
 * Reads the event stream of one decode attempt. A connection that breaks or goes silent is replaced by a new one that
 * resumes at the same position; only when the new one fails too does the worker count as failed.
 *
 * <p>All methods and all calls of the listener run in the serial executor of the request.
 */
final class DecodeStream {
    /** Engines send a comment every 500 ms, so three missing ones tell that a connection is silent for good. */
    static final long SILENCE_MILLIS = 1500;

    private static final long CHECK_MILLIS = 250;
    private static final int MAX_REFUSAL_BYTES = 4096;

    private final EngineClient engines;
    private final ScheduledExecutorService timers;
    private final Executor serial;
    private final BackendServer worker;
    private final String attempt;
    private final Listener listener;
    private int position;
    private Link link;
    private ScheduledFuture<?> check;
    private boolean closed;

    DecodeStream(
            EngineClient engines,
            ScheduledExecutorService timers,
            Executor serial,
            BackendServer worker,
            String attempt,
            Listener listener) {
        this.engines = engines;
        this.timers = timers;
        this.serial = serial;
        this.worker = worker;
        this.attempt = attempt;
        this.listener = listener;
    }

    /** Receives the events of the stream; the last one is one of {@code onDone}, {@code onFailure}, {@code onTaken}. */
    interface Listener {

        /** Receives the end of the transfer. */
        void onImported();

        /** Receives a token; positions have no gaps. */
        void onToken(int at, String text);

        /** Receives the end of a complete answer. */
        void onDone(String finishReason, int promptTokens, int completionTokens);

        /** Receives a failure of the attempt. */
        void onFailure(Failure failure, String message);

        /** Learns that another node has taken the stream over. */
        void onTaken();
    }

    /** Kinds of failures of an attempt at its decode worker. */
    enum Failure {
        /** The worker refused for lack of memory. */
        MEMORY,
        /** The KV cache did not arrive. */
        TRANSFER,
        /** The attempt was cancelled at the engine. */
        CANCELLED,
        /** Nothing was sent, because the worker refused the connection. */
        NOT_SENT,
        /** The worker refuses connections after it had accepted the attempt: it has crashed. */
        CRASH,
        /** The worker failed. */
        WORKER
    }

    void open(Function<ResponseListener, HttpExchange> request) {
        connect(false, request);
        check = timers.scheduleWithFixedDelay(
                () -> serial.execute(this::checkSilence), CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    void openAt(int from) {
        position = from;
        open(received -> engines.resume(worker, attempt, from, received));
    }

    int getPosition() {
        return position;
    }

    /** Closes the connection. The engine goes on until the attempt is cancelled. */
    void close() {
        closed = true;
        if (check != null) {
            check.cancel(false);
        }
        if (link != null) {
            link.exchange.close();
        }
    }

    private void connect(boolean replacement, Function<ResponseListener, HttpExchange> request) {
        Link next = new Link(replacement);
        link = next;
        next.exchange = request.apply(next);
    }

    private void checkSilence() {
        if (!closed && link.exchange.getIdleMillis() > SILENCE_MILLIS) {
            Link silent = link;
            lose(silent, new IOException("no bytes for " + SILENCE_MILLIS + " ms"));
            silent.exchange.close();
        }
    }

    private void lose(Link lost, IOException cause) {
        if (closed || lost != link || lost.lost) {
            return;
        }
        lost.lost = true;
        if (cause instanceof ConnectException && !lost.replacement) {
            fail(Failure.NOT_SENT, cause.getMessage());
        } else if (lost.replacement && !lost.proven) {
            fail(toFailure(cause), cause.getMessage());
        } else {
            engines.describe(worker, attempt)
                    .whenComplete((found, failure) -> serial.execute(() -> reconnect(found, failure)));
        }
    }

    private void reconnect(Optional<EngineAttempt> found, Throwable failure) {
        if (closed) {
            return;
        }
        if (failure != null) {
            fail(toFailure(failure), failure.getMessage());
        } else if (found.isEmpty()) {
            fail(Failure.WORKER, "the engine no longer knows the attempt");
        } else if (!engines.isSelf(found.get())) {
            close();
            listener.onTaken();
        } else {
            connect(true, received -> engines.resume(worker, attempt, position, received));
        }
    }

    private void fail(Failure failure, String message) {
        close();
        listener.onFailure(failure, message);
    }

    private void take(ServerSentEvent event) {
        if (closed) {
            return;
        }
        JsonNode data = Json.tryRead(event.data()).orElse(Json.object());
        switch (event.event()) {
            case "imported":
                listener.onImported();
                break;
            case "token":
                takeToken(data);
                break;
            case "done":
                takeDone(data);
                break;
            case "error":
                fail(toFailure(data.path("kind").asText()), data.path("message").asText());
                break;
            default:
                break;
        }
    }

    private void takeToken(JsonNode data) {
        int at = data.path("position").asInt();
        if (at <= position) {
            return;
        }
        if (at != position + 1) {
            fail(Failure.WORKER, "token " + at + " came after token " + position);
            return;
        }
        position = at;
        listener.onToken(at, data.path("text").asText());
    }

    private void takeDone(JsonNode data) {
        int completion = data.path("completion_tokens").asInt();
        if (completion != position) {
            fail(Failure.WORKER, "the answer ended after " + position + " of " + completion + " tokens");
            return;
        }
        close();
        listener.onDone(
                data.path("finish_reason").asText("stop"),
                data.path("prompt_tokens").asInt(),
                completion);
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
    private final class Link implements ResponseListener {
        private final boolean replacement;
        private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();
        private final ServerSentEventParser parser = new ServerSentEventParser(DecodeStream.this::take);
        private HttpExchange exchange;
        private int status;
        private boolean proven;
        private boolean lost;

        Link(boolean replacement) {
            this.replacement = replacement;
        }

        @Override
        public void onHead(int received, Map<String, String> headers) {
            serial.execute(() -> status = received);
        }

        @Override
        public void onBytes(byte[] bytes) {
            serial.execute(() -> {
                if (closed || this != link || lost) {
                    return;
                }
                if (status == 200) {
                    proven = true;
                    parser.feed(bytes);
                } else if (refusal.size() < MAX_REFUSAL_BYTES) {
                    refusal.writeBytes(bytes);
                }
            });
        }

        @Override
        public void onEnd() {
            serial.execute(() -> {
                if (closed || this != link) {
                    return;
                }
                if (status == 200) {
                    lose(this, new IOException("the stream ended without its last event"));
                } else {
                    failRefused();
                }
            });
        }

        private void failRefused() {
            JsonNode error = Json.tryRead(refusal.toString(StandardCharsets.UTF_8))
                    .orElse(Json.object())
                    .path("error");
            String kind = error.path("kind").asText();
            fail(
                    toFailure(kind),
                    "answered " + status + " " + kind + " "
                            + error.path("message").asText());
        }

        @Override
        public void onFailure(IOException cause) {
            serial.execute(() -> lose(this, cause));
        }
    }
}
