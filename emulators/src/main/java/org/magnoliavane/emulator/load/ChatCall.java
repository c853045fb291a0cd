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
 * Runs one chat as its caller: it checks the stream and, when the stream breaks, resumes it at another node.
 *
 * <p>Thread-safe.
 */
final class ChatCall {
    private static final int OK = 200;
    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final long WATCH_MILLIS = 200;

    private final LoadContext context;
    private final PlannedRequest request;
    private final long arrivalNanos;
    private final Consumer<ChatReport> reports;
    private final TokenChecker checker;
    private final byte[] body;
    private final List<Double> gaps = new ArrayList<>();
    private AddressBook.Address node;
    private Connection connection;
    private String lastEventId = "";
    private long lastTokenNanos;
    private double ttftMillis = -1;
    private int connections;
    private boolean ended;

    ChatCall(LoadContext context, PlannedRequest request, long arrivalNanos, Consumer<ChatReport> reports) {
        this.context = context;
        this.request = request;
        this.arrivalNanos = arrivalNanos;
        this.reports = reports;
        this.checker = new TokenChecker(request.check());
        this.body = toBody();
    }

    synchronized void start() {
        if (ended) {
            return;
        }
        node = context.addresses().choose(node);
        connections++;
        Connection opened = new Connection();
        connection = opened;
        opened.open();
        watch(opened);
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
        HttpRequest http = context.request("POST", node, "/v1/chat/completions").withBody("application/json", body);
        if (context.options().getDeadlineMillis() > 0) {
            http = http.withHeader(
                    "Magnoliavane-Deadline-Millis",
                    Long.toString(context.options().getDeadlineMillis()));
        }
        return lastEventId.isEmpty() ? http : http.withHeader("Last-Event-ID", lastEventId);
    }

    /** Gives up a connection that stays silent for too long. */
    private void watch(Connection watched) {
        context.timers().after(WATCH_MILLIS, () -> {
            if (!isCurrent(watched)) {
                return;
            }
            boolean silent =
                    watched.exchange.getIdleMillis() > context.options().getSilenceMillis();
            if (silent || isGivenUp()) {
                watched.exchange.close();
                return;
            }
            watch(watched);
        });
    }

    private synchronized boolean isCurrent(Connection other) {
        return !ended && connection == other;
    }

    private synchronized void onEvent(Connection from, ServerSentEvent event) {
        if (ended || connection != from) {
            return;
        }
        event.id().ifPresent(id -> lastEventId = id);
        if (event.data().equals("[DONE]")) {
            checker.end(Math.min(request.outputTokens(), context.options().getMaxTokens()));
            finish(toOutcome(), Optional.empty());
            return;
        }
        try {
            takeChunk(Json.parseTree(event.data().getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        } catch (IOException e) {
            from.close();
        }
    }

    private void takeChunk(JsonNode chunk) {
        Optional<ErrorBody> error = ErrorBody.of(chunk);
        if (error.isPresent()) {
            fail(error.get());
            return;
        }
        int tokens = checker.accept(
                chunk.path("choices").path(0).path("delta").path("content").asText(""));
        for (int i = 0; i < tokens; i++) {
            noteToken(System.nanoTime());
        }
        if (request.cancelAfter() > 0 && checker.getPosition() >= request.cancelAfter()) {
            finish(ChatOutcome.CANCELLED, Optional.empty());
        }
    }

    private void noteToken(long nowNanos) {
        if (ttftMillis < 0) {
            ttftMillis = (nowNanos - arrivalNanos) / NANOS_PER_MILLI;
        } else {
            gaps.add((nowNanos - lastTokenNanos) / NANOS_PER_MILLI);
        }
        lastTokenNanos = nowNanos;
    }

    private ChatOutcome toOutcome() {
        if (checker.getCrossed() > 0) {
            return ChatOutcome.CROSSED;
        }
        if (checker.getDoubled() > 0) {
            return ChatOutcome.DOUBLED;
        }
        return checker.getLost() > 0 ? ChatOutcome.LOST : ChatOutcome.COMPLETE;
    }

    private void fail(ErrorBody error) {
        finish(error.ran().equals("no") ? ChatOutcome.REFUSED : ChatOutcome.FAILED, Optional.of(error));
    }

    private synchronized void onBroken(Connection from, Optional<ErrorBody> error) {
        if (ended || connection != from) {
            return;
        }
        if (error.isPresent()) {
            fail(error.get());
            return;
        }
        if (isGivenUp()) {
            finish(checker.getPosition() > 0 ? ChatOutcome.LOST : ChatOutcome.UNANSWERED, Optional.empty());
            return;
        }
        connection = null;
        context.timers().after(context.options().getReconnectMillis(), this::start);
    }

    private boolean isGivenUp() {
        return (System.nanoTime() - arrivalNanos) / NANOS_PER_MILLI
                > context.options().getGiveUpMillis();
    }

    private void finish(ChatOutcome outcome, Optional<ErrorBody> error) {
        ended = true;
        connection.close();
        reports.accept(new ChatReport(
                request,
                outcome,
                error.map(ErrorBody::type).orElse(""),
                error.map(ErrorBody::retryAfterMillis).orElse(-1L) >= 0,
                ttftMillis,
                List.copyOf(gaps),
                connections - 1));
    }

    private record Message(String role, String content) {}

    /** One connection of the chat. */
    private final class Connection implements ResponseListener {
        private final ServerSentEventParser parser = new ServerSentEventParser(event -> onEvent(this, event));
        private final java.io.ByteArrayOutputStream other = new java.io.ByteArrayOutputStream();
        private volatile HttpExchange exchange;
        private boolean stream;

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
            stream = status == OK;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (stream) {
                parser.feed(bytes);
            } else {
                other.writeBytes(bytes);
            }
        }

        @Override
        public void onEnd() {
            onBroken(this, stream ? Optional.empty() : ErrorBody.parse(other.toByteArray()));
        }

        @Override
        public void onFailure(IOException cause) {
            onBroken(this, Optional.empty());
        }
    }
}
