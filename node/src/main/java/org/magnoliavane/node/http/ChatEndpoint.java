package org.magnoliavane.node.http;

import java.util.Optional;

import io.vavr.control.Either;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.config.Service;
import org.magnoliavane.node.dispatch.ModelRequest;
import org.magnoliavane.node.dispatch.ModelRun;
import org.magnoliavane.node.dispatch.ServiceDependencies;
import org.magnoliavane.node.dispatch.StreamPosition;

/** Admits chat requests, finds repeated ones, and connects the answers with the callers. */
final class ChatEndpoint {
    private final CallerContext parts;
    private final KeyedAnswers keyed = new KeyedAnswers();

    ChatEndpoint(CallerContext parts) {
        this.parts = parts;
    }

    void handle(CallerExchange exchange) {
        Either<ParamFault, Chat> chat = ChatRequest.parse(exchange.getBody())
                .flatMap(request -> ChatRouting.toCall(exchange, request).map(call -> new Chat(request, call)));
        chat.peek(c -> admit(exchange, c)).peekLeft(exchange::refuse);
    }

    private void admit(CallerExchange exchange, Chat chat) {
        ModelRequest call = chat.call();
        exchange.getDecisions()
                .record(
                        "route",
                        "models " + ChatRouting.modelsOf(exchange),
                        call.service(),
                        "model " + call.model() + ", class " + call.priceClass().name());
        Optional<String> lastEvent = exchange.findHeader("last-event-id");
        if (lastEvent.isPresent()) {
            resume(exchange, chat, lastEvent.get());
            return;
        }
        Optional<String> key = exchange.findHeader("idempotency-key").map(PlainEndpoint::unquote);
        if (key.isPresent() && !PlainEndpoint.isValid(key.get())) {
            exchange.refuse(PlainEndpoint.invalidKey());
        } else if (key.isPresent()) {
            deduplicate(exchange, chat, key.get());
        } else if (isAdmitted(exchange, call)) {
            start(exchange, chat);
        }
    }

    private boolean isAdmitted(CallerExchange exchange, ModelRequest call) {
        Service service = exchange.getConfiguration().services().get(call.service());
        Optional<Fault> refusal = ServiceDependencies.findFault(
                service, exchange.getConfiguration(), parts.view().get());
        String considered = "dependencies " + service.dependsOn() + ", " + call.promptTokens() + " prompt tokens";
        if (refusal.isPresent()) {
            exchange.refuse(refusal.get());
            return false;
        }
        exchange.getDecisions().record("admit", considered, "placement", "limits and dependencies are met");
        return true;
    }

    private ModelRun start(CallerExchange exchange, Chat chat) {
        ChatRelay relay = newRelay(exchange, chat, false);
        ModelRun run = parts.models().start(chat.call(), relay);
        connect(exchange, run, relay);
        return run;
    }

    private void deduplicate(CallerExchange exchange, Chat chat, String key) {
        ModelRequest call = chat.call();
        KeyedAnswers.Entry entry = keyed.claim(call.caller().name(), key, call.request(), exchange.getBody());
        if (entry.getRequest().equals(call.request())) {
            startKeyed(exchange, chat, entry);
        } else if (entry.isFor(exchange.getBody())) {
            join(exchange, chat, entry);
        } else {
            exchange.refuse(new ParamFault(
                    Fault.notRun(
                            FaultKind.KEY_CONFLICT,
                            "the Idempotency-Key was used with another body",
                            "send a new key with a new request"),
                    "Idempotency-Key"));
        }
    }

    private void startKeyed(CallerExchange exchange, Chat chat, KeyedAnswers.Entry entry) {
        boolean started = false;
        try {
            if (isAdmitted(exchange, chat.call())) {
                keyed.start(entry, start(exchange, chat));
                started = true;
            }
        } finally {
            if (!started) {
                keyed.remove(entry);
            }
        }
    }

    private void join(CallerExchange exchange, Chat chat, KeyedAnswers.Entry entry) {
        String earlier = entry.getRequest();
        exchange.getDecisions().record("deduplicate", "request " + earlier, earlier, "same caller, key and body");
        exchange.setShownId(earlier);
        ChatRelay relay =
                newRelay(exchange, new Chat(chat.request(), chat.call().withRequest(earlier)), false);
        if (entry.findAnswer().isPresent()) {
            entry.findAnswer().get().replayTo(relay);
            return;
        }
        entry.getRun().whenComplete((run, cause) -> {
            if (cause != null) {
                exchange.fail(Fault.notRun(
                        FaultKind.UNAVAILABLE, "the first request with this key was refused", "send it again"));
                return;
            }
            run.replaceListener(relay);
            connect(exchange, run, relay);
        });
    }

    private void resume(CallerExchange exchange, Chat chat, String lastEvent) {
        Optional<StreamPosition> position = StreamPosition.parse(lastEvent);
        if (position.isEmpty() || !chat.request().stream()) {
            exchange.refuse(ParamFault.invalid(
                    "Last-Event-ID",
                    position.isEmpty() ? "Last-Event-ID is malformed" : "Last-Event-ID needs stream: true",
                    "send the id of the last event received, as <worker>/<attempt>/<position>"));
            return;
        }
        String attempt = position.get().attempt();
        String earlier = attempt.substring(0, attempt.indexOf('-'));
        ModelRequest call = chat.call().withRequest(earlier);
        ChatRelay relay = newRelay(exchange, new Chat(chat.request(), call), true);
        parts.models().resume(call, position.get(), relay).thenAccept(result -> {
            if (result.isLeft()) {
                exchange.fail(result.getLeft());
                return;
            }
            exchange.setShownId(earlier);
            connect(exchange, result.get(), relay);
        });
    }

    private ChatRelay newRelay(CallerExchange exchange, Chat chat, boolean resumed) {
        return new ChatRelay(exchange, chat.call(), chat.request(), resumed, parts.timers(), parts.metrics());
    }

    private static void connect(CallerExchange exchange, ModelRun run, ChatRelay relay) {
        relay.start();
        exchange.setOnGone(() -> {
            run.cancel(relay);
            relay.abort();
        });
    }

    /** A parsed request and the call that it makes. */
    private record Chat(ChatRequest request, ModelRequest call) {}
}
