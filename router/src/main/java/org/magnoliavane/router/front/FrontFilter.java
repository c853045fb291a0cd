package org.magnoliavane.router.front;

import java.util.List;
import java.util.function.Consumer;

/** One step on the way of a caller's request; it answers the request or passes it on. */
interface FrontFilter {

    void apply(FrontExchange exchange, Consumer<FrontExchange> next);

    static Consumer<FrontExchange> chain(List<FrontFilter> filters, Consumer<FrontExchange> last) {
        Consumer<FrontExchange> next = last;
        for (int i = filters.size() - 1; i >= 0; i--) {
            FrontFilter filter = filters.get(i);
            Consumer<FrontExchange> following = next;
            next = exchange -> filter.apply(exchange, following);
        }
        return next;
    }
}
