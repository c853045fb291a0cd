package org.magnoliavane.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the routes, services and limits of one version of the operators' configuration.
 *
 * <p>Immutable and thread-safe.
 */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceProfile> services;
    private final CallerLimits limits;

    private RoutingTable(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, ServiceProfile> services,
            CallerLimits limits) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.services = services;
        this.limits = limits;
    }

    /**
     * Creates a table.
     *
     * @param version the version of the configuration, greater than 0
     * @param routes the routes
     * @param services the services
     * @param limits the limits for callers
     * @return the table
     */
    public static RoutingTable create(
            long version, Collection<Route> routes, Collection<ServiceProfile> services, CallerLimits limits) {
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        byHost.values().forEach(list -> list.sort(longestFirst));
        Map<String, ServiceProfile> byName = new HashMap<>();
        services.forEach(s -> byName.put(s.name(), s));
        return new RoutingTable(version, byHost, byName, limits);
    }

    /**
     * Gets the version of the configuration.
     *
     * @return the version
     */
    public long getVersion() {
        return version;
    }

    /**
     * Gets the limits for callers.
     *
     * @return the limits
     */
    public CallerLimits getLimits() {
        return limits;
    }

    /**
     * Finds a service.
     *
     * @param name the name of the service
     * @return the service; empty when the configuration does not contain it
     */
    public Optional<ServiceProfile> findService(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Gets the services.
     *
     * @return the services, in no particular order
     */
    public Collection<ServiceProfile> getServices() {
        return services.values();
    }

    /**
     * Finds the route with the longest path prefix that matches.
     *
     * @param host the host name in any case, with or without a port
     * @param path the path of the request without the query
     * @return the route; empty when none matches
     */
    public Optional<Route> findRoute(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        for (Route route : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
