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

/** Validates requests to plain services and dispatches them. Requests with an idempotency key run at most once. */
final class PlainEndpoint {
    private static final int MAX_KEY_LENGTH = 255;

    /** Headers that belong to the connection of the caller, and headers that the router sets itself. */
    private static final Set<String> UNFORWARDED_HEADERS = Set.of(
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

    private final KeyedRequestService keyedRequests;
    private final PlainDispatcher dispatcher;

    PlainEndpoint(KeyedRequestService keyedRequests, PlainDispatcher dispatcher) {
        this.keyedRequests = keyedRequests;
        this.dispatcher = dispatcher;
    }

    void handle(CallerExchange exchange, Service service, Route route) {
        Optional<Fault> forbidden = AccessControl.findFault(exchange.getCaller(), service.name());
        if (forbidden.isPresent()) {
            exchange.refuse(forbidden.get());
            return;
        }
        Optional<String> key = exchange.findHeader("idempotency-key").map(PlainEndpoint::unquoteKey);
        if (key.isEmpty() && !route.idempotent()) {
            exchange.refuse(missingKey(route));
            return;
        }
        if (key.isPresent() && !isValidKey(key.get())) {
            exchange.refuse(invalidKey());
            return;
        }
        DeadlineHeader.parseTimeoutMillis(exchange)
                .peek(deadline -> dispatch(exchange, toPlainRequest(exchange, service, route, key, deadline)))
                .peekLeft(exchange::refuse);
    }

    private void dispatch(CallerExchange exchange, PlainRequest request) {
        CompletionStage<Either<Fault, PlainResponse>> response =
                request.idempotencyKey().isPresent() ? keyedRequests.execute(request) : dispatcher.dispatch(request);
        response.whenComplete((result, cause) -> {
            if (cause != null) {
                exchange.fail(Fault.unknownOutcome(
                        FaultKind.INTERNAL,
                        "the request failed in the node: " + cause.getMessage(),
                        "repeat the request with the same Idempotency-Key"));
            } else if (result.isLeft()) {
                exchange.fail(result.getLeft());
            } else {
                PlainResponse plainResponse = result.get();
                exchange.send(plainResponse.status(), plainResponse.headers(), plainResponse.body());
            }
        });
    }

    private static PlainRequest toPlainRequest(
            CallerExchange exchange, Service service, Route route, Optional<String> key, long deadlineMillis) {
        Map<String, String> headers = new HashMap<>(exchange.getHeaders());
        headers.keySet().removeAll(UNFORWARDED_HEADERS);
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

    /** Removes the quotes around the key, which the IETF draft of the header requires. */
    static String unquoteKey(String key) {
        boolean quoted = key.length() >= 2 && key.startsWith("\"") && key.endsWith("\"");
        return quoted ? key.substring(1, key.length() - 1) : key;
    }

    static boolean isValidKey(String key) {
        return !key.isEmpty() && key.length() <= MAX_KEY_LENGTH && key.chars().allMatch(c -> c > ' ' && c < 127);
    }
}
