package org.magnoliavane.node.http;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.config.Route;
import org.magnoliavane.config.Service;
import org.magnoliavane.node.keyed.KeyedRequestService;
import org.magnoliavane.node.keyed.PlainDispatcher;
import org.magnoliavane.node.keyed.PlainRequest;
import org.magnoliavane.node.keyed.PlainResponse;

/** Checks calls to plain services and hands them on; keyed ones run at most once. */
final class PlainEndpoint {
    private static final int MAX_KEY_LENGTH = 255;

    /** Headers of the caller's connection, and those that the router sets itself. */
    private static final Set<String> NOT_PASSED_ON = Set.of(
            "authorization",
            "connection",
            "content-length",
            "expect",
            "host",
            "idempotency-key",
            "keep-alive",
            "magnoliavane-deadline-millis",
            "magnoliavane-request",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private final KeyedRequestService keyed;
    private final PlainDispatcher dispatcher;

    PlainEndpoint(KeyedRequestService keyed, PlainDispatcher dispatcher) {
        this.keyed = keyed;
        this.dispatcher = dispatcher;
    }

    void handle(CallerExchange exchange, Service service, Route route) {
        Optional<Fault> forbidden = Access.check(exchange.getCaller(), service.name());
        if (forbidden.isPresent()) {
            exchange.refuse(forbidden.get());
            return;
        }
        Optional<String> key = exchange.findHeader("idempotency-key").map(PlainEndpoint::unquote);
        if (key.isEmpty() && !route.idempotent()) {
            exchange.refuse(missingKey(route));
            return;
        }
        if (key.isPresent() && !isValid(key.get())) {
            exchange.refuse(invalidKey());
            return;
        }
        Deadline.of(exchange)
                .peek(deadline -> dispatch(exchange, toCall(exchange, service, route, key, deadline)))
                .peekLeft(exchange::refuse);
    }

    private void dispatch(CallerExchange exchange, PlainRequest call) {
        CompletionStage<Either<Fault, PlainResponse>> answer =
                call.idempotencyKey().isPresent() ? keyed.execute(call) : dispatcher.dispatch(call);
        answer.whenComplete((result, cause) -> {
            if (cause != null) {
                exchange.fail(Fault.unknownOutcome(
                        FaultKind.INTERNAL,
                        "the call failed in the node: " + cause.getMessage(),
                        "repeat the call with the same Idempotency-Key"));
            } else if (result.isLeft()) {
                exchange.fail(result.getLeft());
            } else {
                PlainResponse plain = result.get();
                exchange.answer(plain.status(), plain.headers(), plain.body());
            }
        });
    }

    private static PlainRequest toCall(
            CallerExchange exchange, Service service, Route route, Optional<String> key, long deadlineMillis) {
        Map<String, String> headers = new HashMap<>(exchange.getHeaders());
        headers.keySet().removeAll(NOT_PASSED_ON);
        long timeout = deadlineMillis > 0 ? Math.min(deadlineMillis, route.timeoutMillis()) : route.timeoutMillis();
        return new PlainRequest(
                exchange.getId(),
                exchange.getCaller().name(),
                service.name(),
                exchange.getMethod(),
                exchange.getPathWithQuery(),
                headers,
                exchange.getBody(),
                key,
                route.idempotent(),
                timeout);
    }

    private static ParamFault missingKey(Route route) {
        return new ParamFault(
                Fault.notRun(
                        FaultKind.MISSING_IDEMPOTENCY_KEY,
                        route.method() + " " + route.path() + " is not idempotent and needs an Idempotency-Key",
                        "send the header Idempotency-Key with <run token>/<unique>; GET /v1/addresses gives run tokens"),
                "Idempotency-Key");
    }

    static ParamFault invalidKey() {
        return ParamFault.invalid(
                "Idempotency-Key",
                "Idempotency-Key is longer than " + MAX_KEY_LENGTH + " or has characters outside of printable ASCII",
                "send 1 to " + MAX_KEY_LENGTH + " printable ASCII characters without spaces");
    }

    /** Removes the quotes that the IETF draft puts around the key. */
    static String unquote(String key) {
        boolean quoted = key.length() >= 2 && key.startsWith("\"") && key.endsWith("\"");
        return quoted ? key.substring(1, key.length() - 1) : key;
    }

    static boolean isValid(String key) {
        return !key.isEmpty() && key.length() <= MAX_KEY_LENGTH && key.chars().allMatch(c -> c > ' ' && c < 127);
    }
}
