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

/** Determines service, price class, token limits and deadline of a chat request. */
final class ChatRouting {
    /** Service tiers that client libraries send when the user has not selected any. */
    private static final Set<String> NO_TIER = Set.of("auto", "default");

    private ChatRouting() {}

    /** Creates the model request, or the fault when the chat request has unknown values or exceeds a limit. */
    static Either<ParamFault, ModelRequest> toModelRequest(CallerExchange exchange, ChatRequest request) {
        Configuration configuration = exchange.getConfiguration();
        Optional<Service> service = configuration.findServiceOfModel(request.model());
        if (service.isEmpty()) {
            return Either.left(unknownValue("model", request.model(), getAllowedModels(exchange)));
        }
        Optional<Fault> forbidden =
                AccessControl.findFault(exchange.getCaller(), service.get().name());
        if (forbidden.isPresent()) {
            return Either.left(ParamFault.of(forbidden.get()));
        }
        Optional<String> name = exchange.findHeader("magnoliavane-class").or(request::serviceTier);
        Optional<PriceClass> priceClass = findClass(configuration, name);
        if (priceClass.isEmpty()) {
            return Either.left(unknownValue(
                    "service_tier",
                    name.orElse(""),
                    new TreeSet<>(configuration.classes().keySet())));
        }
        return DeadlineHeader.parseTimeoutMillis(exchange)
                .flatMap(deadline -> toModelRequest(exchange, request, service.get(), priceClass.get(), deadline));
    }

    private static Optional<PriceClass> findClass(Configuration configuration, Optional<String> name) {
        boolean none = name.isPresent()
                && NO_TIER.contains(name.get().toLowerCase(Locale.ROOT))
                && !configuration.classes().containsKey(name.get());
        return configuration.findClass(none ? Optional.empty() : name);
    }

    private static Either<ParamFault, ModelRequest> toModelRequest(
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
        int maxOutputTokens =
                Math.min(request.maxTokens().orElse(settings.maxOutputTokens()), settings.maxOutputTokens());
        int expected = Math.min(request.maxTokens().orElse(settings.expectedOutputTokens()), maxOutputTokens);
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
                maxOutputTokens,
                exchange.getArrivalNanos(),
                deadline));
    }

    /** Gets the models that the caller may use. */
    static Set<String> getAllowedModels(CallerExchange exchange) {
        Set<String> models = new TreeSet<>();
        for (Service service : exchange.getConfiguration().services().values()) {
            if (AccessControl.isAllowed(exchange.getCaller(), service.name())) {
                service.model().ifPresent(m -> models.addAll(m.models()));
            }
        }
        return models;
    }

    private static ParamFault unknownValue(String param, String value, Set<String> known) {
        Fault fault = Fault.notRun(
                FaultKind.NOT_FOUND, param + " " + value + " is not known", "use one of " + String.join(", ", known));
        return new ParamFault(fault, param);
    }
}
