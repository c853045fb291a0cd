package org.magnoliavane.node.http;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.config.Caller;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.routing.ApiKeyDigest;

/** Authenticates the caller by its bearer key. */
final class AuthenticationFilter implements RequestFilter {
    private final AtomicReference<CallerIndex> index = new AtomicReference<>();

    @Override
    public void apply(CallerExchange exchange, Consumer<CallerExchange> next) {
        Optional<Caller> caller =
                exchange.findHeader("authorization").flatMap(h -> authenticate(h, exchange.getConfiguration()));
        if (caller.isEmpty()) {
            exchange.refuse(Fault.notRun(
                    FaultKind.UNAUTHENTICATED,
                    "the bearer key is absent or unknown",
                    "send the header Authorization: Bearer with the key of a configured caller"));
            return;
        }
        exchange.setCaller(caller.get());
        next.accept(exchange);
    }

    private Optional<Caller> authenticate(String header, Configuration configuration) {
        return ApiKeyDigest.ofAuthorization(header)
                .map(digest -> getIndex(configuration).byKeyHash().get(digest));
    }

    private CallerIndex getIndex(Configuration configuration) {
        CallerIndex current = index.get();
        if (current != null && current.source() == configuration.callers()) {
            return current;
        }
        Map<String, Caller> byKey = configuration.callers().values().stream()
                .collect(Collectors.toMap(Caller::keySha256, c -> c, (first, second) -> first));
        CallerIndex built = new CallerIndex(configuration.callers(), byKey);
        index.set(built);
        return built;
    }

    /**
     * Holds the callers of one configuration by the hash of their key.
     *
     * @param source the callers of the configuration that the index was built from
     * @param byKeyHash the callers by the hash of their key
     */
    private record CallerIndex(Map<String, Caller> source, Map<String, Caller> byKeyHash) {}
}
