package org.magnoliavane.router.front;

import java.util.List;
import java.util.function.Consumer;

/** A filter for the requests of callers. It either answers a request or passes it to the next filter. */
interface FrontendFilter {

    void apply(FrontendExchange exchange, Consumer<FrontendExchange> next);

    static Consumer<FrontendExchange> chain(List<FrontendFilter> filters, Consumer<FrontendExchange> last) {
        Consumer<FrontendExchange> next = last;
        for (int i = filters.size() - 1; i >= 0; i--) {
            FrontendFilter filter = filters.get(i);
            Consumer<FrontendExchange> following = next;
            next = exchange -> filter.apply(exchange, following);
        }
        return next;
    }
}
