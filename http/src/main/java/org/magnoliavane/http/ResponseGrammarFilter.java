package org.magnoliavane.http;

import java.util.Optional;
import java.util.function.Function;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Passes on the received bytes of responses that follow the grammar of HTTP/1.1. The parser behind it accepts lines that are no
 * fields, names that are no tokens, lengths that contradict each other and unknown codings, and finds an end of the body that
 * the server did not mean.
 *
 * <p>Thread-safe if the function is.
 */
final class ResponseGrammarFilter extends BaseFilter {
    private final Function<Connection<?>, HttpExchange> exchanges;

    /**
     * Creates a filter.
     *
     * @param exchanges finds the exchange of a connection; null if its request has not been prepared
     */
    ResponseGrammarFilter(Function<Connection<?>, HttpExchange> exchanges) {
        this.exchanges = exchanges;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Connection<?> connection = context.getConnection();
        HttpExchange exchange = exchanges.apply(connection);
        if (exchange == null) {
            // The request has not been sent: the connection is being established.
            connection.closeSilently();
            return context.getStopAction();
        }
        Buffer received = context.getMessage();
        Optional<byte[]> checked = exchange.check(received.toByteBuffer());
        received.tryDispose();
        if (checked.isEmpty()) {
            return context.getStopAction();
        }
        context.setMessage(Buffers.wrap(connection.getMemoryManager(), checked.get()));
        return context.getInvokeAction();
    }
}
