package org.magnoliavane.node.http;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.vavr.control.Either;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.config.PriceClass;
import org.magnoliavane.config.Service;
import org.magnoliavane.node.dispatch.ModelRequest;
import org.magnoliavane.pool.TokenCount;

/** Finds service, class, limits and deadline of a chat request. */
final class ChatRouting {
    /** Tiers that client libraries send when the user has chosen none. */
    private static final Set<String> NO_TIER = Set.of("auto", "default");

    private ChatRouting() {}

    /** Makes the call of a request, or the fault when the request names something unknown or exceeds a limit. */
    static Either<ParamFault, ModelRequest> toCall(CallerExchange exchange, ChatRequest request) {
        Configuration configuration = exchange.getConfiguration();
        Optional<Service> service = configuration.findServiceOfModel(request.model());
        if (service.isEmpty()) {
            return Either.left(unknown("model", request.model(), modelsOf(exchange)));
        }
        Optional<Fault> forbidden =
                Access.check(exchange.getCaller(), service.get().name());
        if (forbidden.isPresent()) {
            return Either.left(ParamFault.of(forbidden.get()));
        }
        Optional<String> name = exchange.findHeader("magnoliavane-class").or(request::serviceTier);
        Optional<PriceClass> priceClass = findClass(configuration, name);
        if (priceClass.isEmpty()) {
            return Either.left(unknown(
                    "service_tier",
                    name.orElse(""),
                    new TreeSet<>(configuration.classes().keySet())));
        }
        return Deadline.of(exchange)
                .flatMap(deadline -> toCall(exchange, request, service.get(), priceClass.get(), deadline));
    }

    private static Optional<PriceClass> findClass(Configuration configuration, Optional<String> name) {
        boolean none = name.isPresent()
                && NO_TIER.contains(name.get().toLowerCase(Locale.ROOT))
                && !configuration.classes().containsKey(name.get());
        return configuration.findClass(none ? Optional.empty() : name);
    }

    private static Either<ParamFault, ModelRequest> toCall(
            CallerExchange exchange, ChatRequest request, Service service, PriceClass priceClass, long deadline) {
        int promptTokens = TokenCount.of(request.prompt());
        int limit = exchange.getConfiguration().limits().maxPromptTokens();
        if (promptTokens > limit) {
            Fault fault = Fault.notRun(
                    FaultKind.TOO_LARGE,
                    "the prompt has " + promptTokens + " tokens, allowed are " + limit,
                    "shorten the messages; operators: raise max_prompt_tokens");
            return Either.left(new ParamFault(fault, "messages"));
        }
        ModelSettings settings = service.model().orElseThrow();
        int most = Math.min(request.maxTokens().orElse(settings.maxOutputTokens()), settings.maxOutputTokens());
        int expected = Math.min(request.maxTokens().orElse(settings.expectedOutputTokens()), most);
        return Either.right(new ModelRequest(
                exchange.getId(),
                exchange.getCaller(),
                service.name(),
                settings,
                request.model(),
                priceClass,
                request.prompt(),
                promptTokens,
                expected,
                most,
                exchange.getArrivalNanos(),
                deadline));
    }

    /** Gets the models that the caller may use. */
    static Set<String> modelsOf(CallerExchange exchange) {
        Set<String> models = new TreeSet<>();
        for (Service service : exchange.getConfiguration().services().values()) {
            if (Access.isAllowed(exchange.getCaller(), service.name())) {
                service.model().ifPresent(m -> models.addAll(m.models()));
            }
        }
        return models;
    }

    private static ParamFault unknown(String param, String value, Set<String> known) {
        Fault fault = Fault.notRun(
                FaultKind.NOT_FOUND, param + " " + value + " is not known", "use one of " + String.join(", ", known));
        return new ParamFault(fault, param);
    }
}
