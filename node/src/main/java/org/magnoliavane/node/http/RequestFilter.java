package org.magnoliavane.node.http;

import java.util.List;
import java.util.function.Consumer;

/** Does one job on the path of a request. It answers the exchange, or hands it on, now or later. */
@FunctionalInterface
interface RequestFilter {

    /**
     * Takes an exchange.
     *
     * @param exchange the exchange
     * @param next takes the exchange when this filter has not answered it
     */
    void apply(CallerExchange exchange, Consumer<CallerExchange> next);

    /** Connects filters, the first one outermost. */
    static Consumer<CallerExchange> chain(List<RequestFilter> filters, Consumer<CallerExchange> last) {
        Consumer<CallerExchange> next = last;
        for (int i = filters.size() - 1; i >= 0; i--) {
            RequestFilter filter = filters.get(i);
            Consumer<CallerExchange> after = next;
            next = exchange -> filter.apply(exchange, after);
        }
        return next;
    }
}
