package org.magnoliavane.node.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.config.Route;
import org.magnoliavane.config.Service;

/** Finds the endpoint or the plain service that a request is for. */
final class RouteFilter implements RequestFilter {
    private static final String CHAT = "/v1/chat/completions";
    private static final String MODELS = "/v1/models";

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
        if (!isPlainPath(path)) {
            exchange.refuse(ParamFault.invalid(
                    "path", "the path has empty, encoded or dot segments", "send the path in its shortest form"));
        } else if (method.equals("POST") && path.equals(CHAT)) {
            exchange.setTarget(chat::handle);
            next.accept(exchange);
        } else if (method.equals("GET") && path.equals(MODELS)) {
            exchange.setTarget(ModelsEndpoint::answer);
            next.accept(exchange);
        } else {
            routePlain(exchange, next);
        }
    }

    private void routePlain(CallerExchange exchange, Consumer<CallerExchange> next) {
        List<String> known = new ArrayList<>(List.of("POST " + CHAT, "GET " + MODELS));
        for (Service service : exchange.getConfiguration().services().values()) {
            for (Route route : service.routes()) {
                String name = route.method() + " " + route.path();
                if (route.matches(exchange.getMethod(), exchange.getPath())) {
                    exchange.getDecisions().record("route", name, service.name(), "method and path match");
                    exchange.setTarget(e -> plain.handle(e, service, route));
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
     * Says whether a path means the same to the router and to every backend server. A server may shorten dot segments,
     * so that a path which matches an idempotent route here would reach another route there.
     */
    private static boolean isPlainPath(String path) {
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
