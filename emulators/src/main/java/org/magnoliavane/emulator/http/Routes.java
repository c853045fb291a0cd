package org.magnoliavane.emulator.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the handler of a request by method and path. A segment in braces is a path variable, which matches any segment.
 *
 * <p>Not thread-safe while routes are added; thread-safe afterwards.
 */
public final class Routes {
    private final List<Route> routes = new ArrayList<>();

    /**
     * Adds a route.
     *
     * @param method the HTTP method
     * @param template the path with its variables, for example {@code /v1/decodes/{attempt}}
     * @param handler the handler
     * @return this
     */
    public Routes add(String method, String template, ExchangeHandler handler) {
        routes.add(new Route(method, template.split("/"), handler));
        return this;
    }

    Optional<Match> find(String method, String path) {
        String[] segments = path.split("/");
        for (Route route : routes) {
            Optional<Map<String, String>> values = route.match(method, segments);
            if (values.isPresent()) {
                return values.map(found -> new Match(route.handler, found));
            }
        }
        return Optional.empty();
    }

    record Match(ExchangeHandler handler, Map<String, String> pathValues) {}

    private record Route(String method, String[] template, ExchangeHandler handler) {
        Optional<Map<String, String>> match(String actualMethod, String[] segments) {
            if (!method.equals(actualMethod) || segments.length != template.length) {
                return Optional.empty();
            }
            Map<String, String> values = new HashMap<>();
            for (int i = 0; i < segments.length; i++) {
                if (template[i].startsWith("{")) {
                    values.put(template[i].substring(1, template[i].length() - 1), segments[i]);
                } else if (!template[i].equals(segments[i])) {
                    return Optional.empty();
                }
            }
            return Optional.of(values);
        }
    }
}
