package org.magnoliavane.node.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.config.Route;
import org.magnoliavane.config.Service;

/** Selects the endpoint or the plain service for a request. */
final class RouteFilter implements RequestFilter {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String MODELS_PATH = "/v1/models";

    private final ChatEndpoint chat;
    private final PlainEndpoint plain;

    RouteFilter(ChatEndpoint chat, PlainEndpoint plain) {
        this.chat = chat;
        this.plain = plain;
    }

    @Override
    public void apply(CallerExchange exchange, Consumer<CallerExchange> next) {
        String method = exchange.getMethod();
        String path = exchange.getPath();
        if (!isUnambiguousPath(path)) {
            exchange.refuse(ParamFault.invalid(
                    "path", "the path has empty, encoded or dot segments", "send the normalized path"));
        } else if (method.equals("POST") && path.equals(CHAT_PATH)) {
            exchange.setEndpoint(chat::handle);
            next.accept(exchange);
        } else if (method.equals("GET") && path.equals(MODELS_PATH)) {
            exchange.setEndpoint(ModelsEndpoint::handle);
            next.accept(exchange);
        } else {
            routePlain(exchange, next);
        }
    }

    private void routePlain(CallerExchange exchange, Consumer<CallerExchange> next) {
        List<String> known = new ArrayList<>(List.of("POST " + CHAT_PATH, "GET " + MODELS_PATH));
        for (Service service : exchange.getConfiguration().services().values()) {
            for (Route route : service.routes()) {
                String name = route.method() + " " + route.path();
                if (route.matches(exchange.getMethod(), exchange.getPath())) {
                    exchange.getDecisions().record("route", name, service.name(), "method and path match");
                    exchange.setEndpoint(e -> plain.handle(e, service, route));
                    next.accept(exchange);
                    return;
                }
                known.add(name);
            }
        }
        exchange.refuse(Fault.notRun(
                FaultKind.NOT_FOUND,
                "no route for " + exchange.getMethod() + " " + exchange.getPath(),
                "use one of " + String.join(", ", known)));
    }

    /**
     * Returns whether the router and every backend server interpret a path in the same way. A server may normalize dot
     * segments, so that a path that matches an idempotent route here would reach another route there.
     */
    private static boolean isUnambiguousPath(String path) {
        String lower = path.toLowerCase(Locale.ROOT);
        return !lower.contains("//")
                && !lower.contains("/./")
                && !lower.contains("/../")
                && !lower.endsWith("/.")
                && !lower.endsWith("/..")
                && !lower.contains("%2e")
                && !lower.contains("%2f")
                && !lower.contains("\\")
                && !lower.contains("%5c");
    }
}
