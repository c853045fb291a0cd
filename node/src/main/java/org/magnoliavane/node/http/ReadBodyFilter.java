package org.magnoliavane.node.http;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.http.server.BodyReader;

/** Reads the request body without blocking, up to the configured limit. */
final class ReadBodyFilter implements RequestFilter {
    /** Time within which a body must arrive, so that slow senders cannot keep requests open. */
    private static final long READ_TIMEOUT_MILLIS = 30_000;

    /** The heap of a node of the product's own deployment is not limited to that of the router. */
    private final ByteBudget budget = ByteBudget.of(Long.MAX_VALUE);

    private final ScheduledExecutorService timers;

    ReadBodyFilter(ScheduledExecutorService timers) {
        this.timers = timers;
    }

    @Override
    public void apply(CallerExchange exchange, Consumer<CallerExchange> next) {
        int limit = exchange.getConfiguration().limits().maxBodyBytes();
        BodyReader.read(
                exchange.getRequest(),
                limit,
                READ_TIMEOUT_MILLIS,
                timers,
                budget.open(ByteBudget.Use.CALLER_BODY),
                body -> {
                    exchange.setBody(body);
                    exchange.watchConnection();
                    next.accept(exchange);
                },
                failure -> exchange.refuseAndClose(toFault(failure, limit)));
    }

    private static Fault toFault(BodyReader.Failure failure, int limit) {
        return switch (failure) {
            case TOO_LARGE ->
                Fault.notRun(
                        FaultKind.TOO_LARGE,
                        "the body is larger than " + limit + " bytes",
                        "send a smaller body; operators: raise max_body_bytes");
            case MALFORMED ->
                Fault.notRun(
                        FaultKind.INVALID_REQUEST, "the body ended early or is malformed", "send the request again");
            case NO_ROOM, INTERNAL ->
                Fault.notRun(FaultKind.UNAVAILABLE, "the node cannot receive the body", "send the request again");
            case TOO_SLOW ->
                Fault.notRun(
                        FaultKind.INVALID_REQUEST,
                        "the body did not arrive within " + READ_TIMEOUT_MILLIS + " ms",
                        "send the request again over a faster connection");
        };
    }
}
