package org.magnoliavane.node.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.config.Caller;
import org.magnoliavane.config.Configuration;

/** Finds the caller by the bearer key. */
final class IdentifyFilter implements RequestFilter {
    private static final String SCHEME = "bearer ";

    private final AtomicReference<Index> index = new AtomicReference<>();

    @Override
    public void apply(CallerExchange exchange, Consumer<CallerExchange> next) {
        Optional<Caller> caller =
                exchange.findHeader("authorization").flatMap(h -> identify(h, exchange.getConfiguration()));
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

    private Optional<Caller> identify(String header, Configuration configuration) {
        if (!header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String hash = sha256(header.substring(SCHEME.length()).trim());
        return Optional.ofNullable(indexOf(configuration).callers().get(hash));
    }

    private Index indexOf(Configuration configuration) {
        Index current = index.get();
        if (current != null && current.callersOf() == configuration.callers()) {
            return current;
        }
        Map<String, Caller> byKey = configuration.callers().values().stream()
                .collect(Collectors.toMap(Caller::keySha256, c -> c, (first, second) -> first));
        Index built = new Index(configuration.callers(), byKey);
        index.set(built);
        return built;
    }

    static String sha256(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    /** The callers of one configuration by the hash of their key. */
    private record Index(Map<String, Caller> callersOf, Map<String, Caller> callers) {}
}
