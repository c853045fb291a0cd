package org.magnoliavane.node.http;

import java.util.List;
import java.util.function.Consumer;

/** Performs one step of the processing of a request. */
@FunctionalInterface
interface RequestFilter {

    /**
     * Processes an exchange. The filter either sends the response or passes the exchange on, immediately or later.
     *
     * @param exchange the exchange
     * @param next receives the exchange when this filter has not sent the response
     */
    void apply(CallerExchange exchange, Consumer<CallerExchange> next);

    /** Connects filters to a chain that ends with the given step. */
    static Consumer<CallerExchange> chain(List<RequestFilter> filters, Consumer<CallerExchange> last) {
        Consumer<CallerExchange> next = last;
        for (int i = filters.size() - 1; i >= 0; i--) {
            RequestFilter filter = filters.get(i);
            Consumer<CallerExchange> successor = next;
            next = exchange -> filter.apply(exchange, successor);
        }
        return next;
    }
}
