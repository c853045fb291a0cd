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

/** Admits chat requests, detects repeated ones, and connects callers with the answers of the models. */
final class ChatEndpoint {
    private final CallerContext context;
    private final KeyedAnswerCache keyedAnswers = new KeyedAnswerCache();

    ChatEndpoint(CallerContext context) {
        this.context = context;
    }

    void handle(CallerExchange exchange) {
        Either<ParamFault, ParsedChat> chat = ChatRequest.parse(exchange.getBody())
                .flatMap(request -> ChatRouting.toModelRequest(exchange, request)
                        .map(modelRequest -> new ParsedChat(request, modelRequest)));
        chat.peek(c -> dispatch(exchange, c)).peekLeft(exchange::refuse);
    }

    private void dispatch(CallerExchange exchange, ParsedChat chat) {
        ModelRequest modelRequest = chat.modelRequest();
        exchange.getDecisions()
                .record(
                        "route",
                        "models " + ChatRouting.getAllowedModels(exchange),
                        modelRequest.service(),
                        "model " + modelRequest.model() + ", class "
                                + modelRequest.priceClass().name());
        Optional<String> lastEvent = exchange.findHeader("last-event-id");
        if (lastEvent.isPresent()) {
            resume(exchange, chat, lastEvent.get());
            return;
        }
        Optional<String> key = exchange.findHeader("idempotency-key").map(PlainEndpoint::unquoteKey);
        if (key.isPresent() && !PlainEndpoint.isValidKey(key.get())) {
            exchange.refuse(PlainEndpoint.invalidKey());
        } else if (key.isPresent()) {
            deduplicate(exchange, chat, key.get());
        } else if (tryAdmit(exchange, modelRequest)) {
            start(exchange, chat);
        }
    }

    private boolean tryAdmit(CallerExchange exchange, ModelRequest modelRequest) {
        Service service = exchange.getConfiguration().services().get(modelRequest.service());
        Optional<Fault> refusal = ServiceDependencies.findFault(
                service, exchange.getConfiguration(), context.view().get());
        String considered =
                "dependencies " + service.dependsOn() + ", " + modelRequest.promptTokens() + " prompt tokens";
        if (refusal.isPresent()) {
            exchange.refuse(refusal.get());
            return false;
        }
        exchange.getDecisions().record("admit", considered, "placement", "limits and dependencies are met");
        return true;
    }

    private ModelRun start(CallerExchange exchange, ParsedChat chat) {
        ChatRelay relay = newRelay(exchange, chat, false);
        ModelRun run = context.models().start(chat.modelRequest(), relay);
        connect(exchange, run, relay);
        return run;
    }

    private void deduplicate(CallerExchange exchange, ParsedChat chat, String key) {
        ModelRequest modelRequest = chat.modelRequest();
        KeyedAnswerCache.Entry entry =
                keyedAnswers.findOrAdd(modelRequest.caller().name(), key, modelRequest.id(), exchange.getBody());
        if (entry.getRequest().equals(modelRequest.id())) {
            startKeyed(exchange, chat, entry);
        } else if (entry.hasBody(exchange.getBody())) {
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

    private void startKeyed(CallerExchange exchange, ParsedChat chat, KeyedAnswerCache.Entry entry) {
        boolean started = false;
        try {
            if (tryAdmit(exchange, chat.modelRequest())) {
                keyedAnswers.setRun(entry, start(exchange, chat));
                started = true;
            }
        } finally {
            if (!started) {
                keyedAnswers.remove(entry);
            }
        }
    }

    private void join(CallerExchange exchange, ParsedChat chat, KeyedAnswerCache.Entry entry) {
        String firstRequestId = entry.getRequest();
        exchange.getDecisions()
                .record("deduplicate", "request " + firstRequestId, firstRequestId, "same caller, key and body");
        exchange.setResponseId(firstRequestId);
        ChatRelay relay = newRelay(
                exchange, new ParsedChat(chat.request(), chat.modelRequest().withId(firstRequestId)), false);
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

    private void resume(CallerExchange exchange, ParsedChat chat, String lastEvent) {
        Optional<StreamPosition> position = StreamPosition.parse(lastEvent);
        if (position.isEmpty() || !chat.request().stream()) {
            exchange.refuse(ParamFault.invalid(
                    "Last-Event-ID",
                    position.isEmpty() ? "Last-Event-ID is malformed" : "Last-Event-ID needs stream: true",
                    "send the id of the last event received, as <worker>/<attempt>/<position>"));
            return;
        }
        String attempt = position.get().attempt();
        String firstRequestId = attempt.substring(0, attempt.indexOf('-'));
        ModelRequest modelRequest = chat.modelRequest().withId(firstRequestId);
        ChatRelay relay = newRelay(exchange, new ParsedChat(chat.request(), modelRequest), true);
        context.models().resume(modelRequest, position.get(), relay).thenAccept(result -> {
            if (result.isLeft()) {
                exchange.fail(result.getLeft());
                return;
            }
            exchange.setResponseId(firstRequestId);
            connect(exchange, result.get(), relay);
        });
    }

    private ChatRelay newRelay(CallerExchange exchange, ParsedChat chat, boolean resumed) {
        return new ChatRelay(
                exchange, chat.modelRequest(), chat.request(), resumed, context.timers(), context.metrics());
    }

    private static void connect(CallerExchange exchange, ModelRun run, ChatRelay relay) {
        relay.start();
        exchange.setOnDisconnect(() -> {
            run.cancel(relay);
            relay.abort();
        });
    }

    /** Holds a parsed chat request and the model request that is created from it. */
    private record ParsedChat(ChatRequest request, ModelRequest modelRequest) {}
}
