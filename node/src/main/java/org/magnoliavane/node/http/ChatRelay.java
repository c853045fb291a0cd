package org.magnoliavane.node.http;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.Fault;
import org.magnoliavane.http.SerialExecutor;
import org.magnoliavane.http.server.StreamWriter;
import org.magnoliavane.node.dispatch.AnswerEnd;
import org.magnoliavane.node.dispatch.AnswerListener;
import org.magnoliavane.node.dispatch.ModelRequest;
import org.magnoliavane.node.dispatch.Token;
import org.magnoliavane.router.front.FaultBody;

/**
 * Relays the answer of a model to a caller, as events or as one complete response.
 *
 * <p>Thread-safe.
 */
final class ChatRelay implements AnswerListener {
    /** Callers may consider a connection failed when three keep-alive comments are missing. */
    private static final long KEEP_ALIVE_MILLIS = 500;

    /**
     * Delay before the status of a streamed response is sent, so that a refusal at admission gets its own HTTP status
     * instead of an error event.
     */
    private static final long STATUS_DELAY_MILLIS = 1000;

    /** Several thousand events; the stream of a caller that reads more slowly is aborted. */
    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;

    private static final Map<String, String> EVENT_HEADERS =
            Map.of("Content-Type", "text/event-stream", "Cache-Control", "no-cache");

    private final CallerExchange exchange;
    private final ModelRequest request;
    private final boolean streamed;
    private final boolean includeUsage;
    private final boolean resumed;
    private final ChatFormat format;
    private final ScheduledExecutorService timers;
    private final MetricRegistry metrics;
    private final SerialExecutor serial = SerialExecutor.create();
    private final StringBuilder text = new StringBuilder();
    private Optional<StreamWriter> writer = Optional.empty();
    private ScheduledFuture<?> keepAlive;
    private boolean started;
    private boolean closed;
    private boolean firstTokenRecorded;

    ChatRelay(
            CallerExchange exchange,
            ModelRequest request,
            ChatRequest chatRequest,
            boolean resumed,
            ScheduledExecutorService timers,
            MetricRegistry metrics) {
        this.exchange = exchange;
        this.request = request;
        this.streamed = chatRequest.stream();
        this.includeUsage = chatRequest.includeUsage();
        this.resumed = resumed;
        this.format = new ChatFormat(request);
        this.timers = timers;
        this.metrics = metrics;
    }

    /** Starts the keep-alive comments of a streamed response. */
    void start() {
        if (!streamed) {
            return;
        }
        serial.execute(() -> {
            if (!closed) {
                keepAlive = timers.scheduleWithFixedDelay(
                        () -> serial.execute(this::sendKeepAlive),
                        STATUS_DELAY_MILLIS,
                        KEEP_ALIVE_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Stops writing, because the caller has disconnected. */
    void abort() {
        serial.execute(() -> {
            close();
            writer.ifPresent(StreamWriter::abort);
        });
    }

    @Override
    public void onToken(Token token) {
        serial.execute(() -> {
            recordFirstToken();
            if (streamed) {
                startStream();
                byte[] chunk = format.toTokenChunk(token.position(), token.text());
                writer.ifPresent(w -> w.write(chunk));
            } else {
                text.append(token.text());
            }
        });
    }

    @Override
    public void onReplayedToken(Token token) {
        serial.execute(() -> {
            if (streamed) {
                startStream();
                byte[] chunk = format.toTokenChunk(token.position(), token.text());
                writer.ifPresent(w -> w.writeReplayed(chunk));
            } else {
                text.append(token.text());
            }
        });
    }

    @Override
    public void onEnd(AnswerEnd end) {
        serial.execute(() -> {
            close();
            if (streamed) {
                startStream();
                writer.ifPresent(w -> endStream(w, end));
            } else {
                sendCompleteResponse(end);
            }
        });
    }

    @Override
    public void onFault(Fault fault) {
        serial.execute(() -> {
            close();
            if (!started) {
                exchange.fail(fault);
                return;
            }
            byte[] event = ChatFormat.toEvent(Optional.empty(), FaultBody.toJson(fault, ""));
            writer.ifPresent(w -> {
                w.write(event);
                w.end();
            });
        });
    }

    private void startStream() {
        if (started) {
            return;
        }
        started = true;
        writer = exchange.startStream(EVENT_HEADERS, MAX_BUFFERED_BYTES);
        if (!resumed) {
            writer.ifPresent(w -> w.write(format.toFirstChunk()));
        }
    }

    private void endStream(StreamWriter out, AnswerEnd end) {
        out.write(format.toLastChunk(end));
        if (includeUsage) {
            out.write(format.toUsageChunk(end));
        }
        out.write(ChatFormat.DONE);
        out.end();
    }

    private void sendCompleteResponse(AnswerEnd end) {
        Map<String, String> headers = Map.of(
                "Content-Type",
                "application/json",
                "Magnoliavane-Price-Micros",
                Long.toString(format.getPriceMicros(end)));
        exchange.send(200, headers, format.toCompleteResponse(text.toString(), end));
    }

    private void sendKeepAlive() {
        if (closed) {
            return;
        }
        startStream();
        writer.filter(w -> w.getIdleMillis() >= KEEP_ALIVE_MILLIS).ifPresent(w -> w.write(ChatFormat.KEEP_ALIVE));
    }

    private void recordFirstToken() {
        if (!firstTokenRecorded) {
            firstTokenRecorded = true;
            metrics.timer("chat.first_token")
                    .update(System.nanoTime() - exchange.getArrivalNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void close() {
        closed = true;
        if (keepAlive != null) {
            keepAlive.cancel(false);
        }
    }
}
