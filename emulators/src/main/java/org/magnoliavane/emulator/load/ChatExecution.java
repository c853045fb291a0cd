package org.magnoliavane.emulator.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.emulator.http.Json;
import org.magnoliavane.http.HttpExchange;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.ResponseListener;
import org.magnoliavane.http.ServerSentEvent;
import org.magnoliavane.http.ServerSentEventParser;

/**
 * Executes a chat as its caller. It checks the stream of tokens and resumes it at another node when the connection
 * fails.
 *
 * <p>Thread-safe.
 */
final class ChatExecution {
    private static final int OK = 200;
    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final long IDLE_CHECK_MILLIS = 200;

    private final LoadContext context;
    private final PlannedRequest request;
    private final long arrivalNanos;
    private final Consumer<ChatReport> reportListener;
    private final TokenChecker checker;
    private final byte[] body;
    private final List<Double> gaps = new ArrayList<>();
    private NodeAddresses.Address node;
    private Connection connection;
    private String lastEventId = "";
    private long lastTokenNanos;
    private double ttftMillis = -1;
    private int connections;
    private boolean finished;

    ChatExecution(LoadContext context, PlannedRequest request, long arrivalNanos, Consumer<ChatReport> reports) {
        this.context = context;
        this.request = request;
        this.arrivalNanos = arrivalNanos;
        this.reportListener = reports;
        this.checker = new TokenChecker(request.check());
        this.body = toBody();
    }

    synchronized void start() {
        if (finished) {
            return;
        }
        node = context.addresses().choose(node);
        connections++;
        Connection newConnection = new Connection();
        connection = newConnection;
        newConnection.open();
        watchIdleTime(newConnection);
    }

    private byte[] toBody() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("model", context.options().getModel());
        fields.put("messages", List.of(new Message("user", request.prompt().toText())));
        fields.put("max_tokens", context.options().getMaxTokens());
        fields.put("stream", true);
        if (!request.className().isEmpty()) {
            fields.put("service_tier", request.className());
        }
        return Json.toBytes(fields);
    }

    private HttpRequest toRequest() {
        HttpRequest http =
                context.createRequest("POST", node, "/v1/chat/completions").withBody("application/json", body);
        if (context.options().getDeadlineMillis() > 0) {
            http = http.withHeader(
                    "Magnoliavane-Deadline-Millis",
                    Long.toString(context.options().getDeadlineMillis()));
        }
        return lastEventId.isEmpty() ? http : http.withHeader("Last-Event-ID", lastEventId);
    }

    /**
     * Checks periodically whether a connection has been idle for too long or the chat has timed out, and closes it
     * then.
     */
    private void watchIdleTime(Connection watched) {
        context.timers().schedule(IDLE_CHECK_MILLIS, () -> {
            if (!isCurrent(watched)) {
                return;
            }
            boolean idle = watched.exchange.getIdleMillis() > context.options().getIdleTimeoutMillis();
            if (idle || isTimedOut()) {
                watched.exchange.close();
                return;
            }
            watchIdleTime(watched);
        });
    }

    private synchronized boolean isCurrent(Connection other) {
        return !finished && connection == other;
    }

    private synchronized void onEvent(Connection source, ServerSentEvent event) {
        if (finished || connection != source) {
            return;
        }
        event.id().ifPresent(id -> lastEventId = id);
        if (event.data().equals("[DONE]")) {
            checker.checkLength(
                    Math.min(request.outputTokens(), context.options().getMaxTokens()));
            finish(toOutcome(), Optional.empty());
            return;
        }
        try {
            handleChunk(Json.parseTree(event.data().getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        } catch (IOException e) {
            source.close();
        }
    }

    private void handleChunk(JsonNode chunk) {
        Optional<ErrorBody> error = ErrorBody.fromJson(chunk);
        if (error.isPresent()) {
            fail(error.get());
            return;
        }
        int tokens = checker.accept(
                chunk.path("choices").path(0).path("delta").path("content").asText(""));
        for (int i = 0; i < tokens; i++) {
            recordToken(System.nanoTime());
        }
        if (request.cancelPosition() > 0 && checker.getPosition() >= request.cancelPosition()) {
            finish(ChatOutcome.CANCELLED, Optional.empty());
        }
    }

    private void recordToken(long nowNanos) {
        if (ttftMillis < 0) {
            ttftMillis = (nowNanos - arrivalNanos) / NANOS_PER_MILLI;
        } else {
            gaps.add((nowNanos - lastTokenNanos) / NANOS_PER_MILLI);
        }
        lastTokenNanos = nowNanos;
    }

    private ChatOutcome toOutcome() {
        if (checker.getForeignCount() > 0) {
            return ChatOutcome.CROSSED;
        }
        if (checker.getDuplicateCount() > 0) {
            return ChatOutcome.DOUBLED;
        }
        return checker.getMissingCount() > 0 ? ChatOutcome.LOST : ChatOutcome.COMPLETE;
    }

    private void fail(ErrorBody error) {
        finish(error.ran().equals("no") ? ChatOutcome.REFUSED : ChatOutcome.FAILED, Optional.of(error));
    }

    private synchronized void onConnectionEnd(Connection source, Optional<ErrorBody> error) {
        if (finished || connection != source) {
            return;
        }
        if (error.isPresent()) {
            fail(error.get());
            return;
        }
        if (isTimedOut()) {
            finish(checker.getPosition() > 0 ? ChatOutcome.LOST : ChatOutcome.UNANSWERED, Optional.empty());
            return;
        }
        connection = null;
        context.timers().schedule(context.options().getReconnectMillis(), this::start);
    }

    private boolean isTimedOut() {
        return (System.nanoTime() - arrivalNanos) / NANOS_PER_MILLI
                > context.options().getTimeoutMillis();
    }

    private void finish(ChatOutcome outcome, Optional<ErrorBody> error) {
        finished = true;
        connection.close();
        reportListener.accept(new ChatReport(
                request,
                outcome,
                error.map(ErrorBody::type).orElse(""),
                error.map(ErrorBody::retryAfterMillis).orElse(-1L) >= 0,
                ttftMillis,
                List.copyOf(gaps),
                connections - 1));
    }

    private record Message(String role, String content) {}

    /** Connection of the chat to a node. */
    private final class Connection implements ResponseListener {
        private final ServerSentEventParser parser = new ServerSentEventParser(event -> onEvent(this, event));
        private final java.io.ByteArrayOutputStream errorBody = new java.io.ByteArrayOutputStream();
        private volatile HttpExchange exchange;
        private boolean accepted;

        void open() {
            exchange = context.http().stream(toRequest(), this);
        }

        void close() {
            if (exchange != null) {
                exchange.close();
            }
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            accepted = status == OK;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (accepted) {
                parser.feed(bytes);
            } else {
                errorBody.writeBytes(bytes);
            }
        }

        @Override
        public void onEnd() {
            onConnectionEnd(this, accepted ? Optional.empty() : ErrorBody.parse(errorBody.toByteArray()));
        }

        @Override
        public void onFailure(IOException cause) {
            onConnectionEnd(this, Optional.empty());
        }
    }
}
