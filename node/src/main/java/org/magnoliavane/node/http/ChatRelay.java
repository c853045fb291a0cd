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
 * Relays an answer to a caller, as events or whole.
 *
 * <p>Thread-safe.
 */
final class ChatRelay implements AnswerListener {
    /** Callers may take a connection for dead after three missing comments. */
    private static final long KEEP_ALIVE_MILLIS = 500;

    /**
     * Time for which the status of a streamed response is held back, so that a refusal at admission gets its own
     * status instead of an event.
     */
    private static final long HOLD_STATUS_MILLIS = 1000;

    /** Some thousand events; a caller that is further behind than this is ended. */
    private static final int BUFFER_BYTES = 1024 * 1024;

    private static final Map<String, String> EVENT_HEADERS =
            Map.of("Content-Type", "text/event-stream", "Cache-Control", "no-cache");

    private final CallerExchange exchange;
    private final ModelRequest call;
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
    private boolean firstSeen;

    ChatRelay(
            CallerExchange exchange,
            ModelRequest call,
            ChatRequest request,
            boolean resumed,
            ScheduledExecutorService timers,
            MetricRegistry metrics) {
        this.exchange = exchange;
        this.call = call;
        this.streamed = request.stream();
        this.includeUsage = request.includeUsage();
        this.resumed = resumed;
        this.format = new ChatFormat(call);
        this.timers = timers;
        this.metrics = metrics;
    }

    /** Starts the keep-alive comments of a streamed answer. */
    void start() {
        if (!streamed) {
            return;
        }
        serial.execute(() -> {
            if (!closed) {
                keepAlive = timers.scheduleWithFixedDelay(
                        () -> serial.execute(this::sendKeepAlive),
                        HOLD_STATUS_MILLIS,
                        KEEP_ALIVE_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Stops writing, because the caller is gone. */
    void abort() {
        serial.execute(() -> {
            close();
            writer.ifPresent(StreamWriter::abort);
        });
    }

    @Override
    public void onToken(Token token) {
        serial.execute(() -> {
            measureFirst();
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
                answerWhole(end);
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
        writer = exchange.startStream(EVENT_HEADERS, BUFFER_BYTES);
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

    private void answerWhole(AnswerEnd end) {
        Map<String, String> headers = Map.of(
                "Content-Type",
                "application/json",
                "Magnoliavane-Price-Micros",
                Long.toString(format.getPriceMicros(end)));
        exchange.answer(200, headers, format.toWhole(text.toString(), end));
    }

    private void sendKeepAlive() {
        if (closed) {
            return;
        }
        startStream();
        writer.filter(w -> w.getIdleMillis() >= KEEP_ALIVE_MILLIS).ifPresent(w -> w.write(ChatFormat.KEEP_ALIVE));
    }

    private void measureFirst() {
        if (!firstSeen) {
            firstSeen = true;
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
