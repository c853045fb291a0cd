package org.magnoliavane.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Holds the routes, services, organisations and limits of one version of the operators' configuration.
 *
 * <p>Immutable and thread-safe.
 */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceProfile> services;
    private final CallerLimits limits;
    private final Map<String, Organisation> organisationsByKey;
    private final Map<String, UsageCap> capsByName = new HashMap<>();
    private final boolean hasOrganisations;
    private final int organisationCount;

    /** The priorities of the organisations and of the routes, each in ascending order, without duplicates. */
    private final List<Integer> organisationPriorities;

    private final List<Integer> routePriorities;

    private RoutingTable(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, ServiceProfile> services,
            CallerLimits limits,
            Collection<Organisation> organisations) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.services = services;
        this.limits = limits;
        this.hasOrganisations = !organisations.isEmpty();
        // Invalid organisations have no keys, and no request can belong to them.
        List<Organisation> usable =
                organisations.stream().filter(o -> !o.keyDigests().isEmpty()).toList();
        this.organisationCount = usable.size();
        this.organisationsByKey = new HashMap<>();
        usable.forEach(o -> o.keyDigests().forEach(digest -> organisationsByKey.put(digest, o)));
        usable.forEach(o -> o.usageCap().ifPresent(cap -> capsByName.put(o.name(), cap)));
        this.organisationPriorities = toLevels(usable.stream().map(Organisation::priority));
        this.routePriorities =
                toLevels(routesByHost.values().stream().flatMap(List::stream).map(Route::priority));
    }

    private static List<Integer> toLevels(Stream<Integer> priorities) {
        return priorities.distinct().sorted().toList();
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
        return create(version, routes, services, limits, List.of());
    }

    /**
     * Creates a table with organisations.
     *
     * @param version the version of the configuration, greater than 0
     * @param routes the routes
     * @param services the services
     * @param limits the limits for callers
     * @param organisations the organisations; if there are any, requests need an API key; no key is in two of them
     * @return the table
     */
    public static RoutingTable create(
            long version,
            Collection<Route> routes,
            Collection<ServiceProfile> services,
            CallerLimits limits,
            Collection<Organisation> organisations) {
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        byHost.values().forEach(list -> list.sort(longestFirst));
        Map<String, ServiceProfile> byName = new HashMap<>();
        services.forEach(s -> byName.put(s.name(), s));
        return new RoutingTable(version, byHost, byName, limits, organisations);
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
     * Returns whether requests need an API key, except on anonymous routes.
     *
     * @return true if the configuration has organisations
     */
    public boolean hasOrganisations() {
        return hasOrganisations;
    }

    /**
     * Counts the organisations that hold at least one API key.
     *
     * @return the number
     */
    public int countOrganisations() {
        return organisationCount;
    }

    /**
     * Finds the organisation that holds an API key.
     *
     * @param keyDigest the digest of the key, as {@link ApiKeyDigest} computes it
     * @return the organisation; empty when no organisation has the key
     */
    public Optional<Organisation> findOrganisation(String keyDigest) {
        return Optional.ofNullable(organisationsByKey.get(keyDigest));
    }

    /**
     * Finds an organisation that holds at least one API key.
     *
     * @param name the name of the organisation
     * @return the organisation; empty if the configuration does not contain it
     */
    public Optional<Organisation> findOrganisationByName(String name) {
        return organisationsByKey.values().stream()
                .filter(o -> o.name().equals(name))
                .findFirst();
    }

    /**
     * Finds the usage cap of an organisation.
     *
     * @param name the name of the organisation
     * @return the cap; empty if the organisation has none or is not in the configuration
     */
    public Optional<UsageCap> findUsageCap(String name) {
        return Optional.ofNullable(capsByName.get(name));
    }

    /**
     * Gets the urgency of a request: its rank by the priority of its organisation and, among equal ones, of its route.
     *
     * @param organisation the organisation; empty for an anonymous request, which has the lowest priority of all organisations
     * @param route a route of this table
     * @return the urgency; 0 is the most urgent
     */
    public int getUrgency(Optional<Organisation> organisation, Route route) {
        int lowest = Math.max(0, organisationPriorities.size() - 1);
        int organisationLevel = organisation
                .map(o -> organisationPriorities.indexOf(o.priority()))
                .filter(level -> level >= 0)
                .orElse(lowest);
        return organisationLevel * routePriorities.size() + Math.max(0, routePriorities.indexOf(route.priority()));
    }

    /**
     * Counts the urgencies that requests can have.
     *
     * @return the number, at least 1; each urgency is below it
     */
    public int countUrgencies() {
        return Math.max(1, organisationPriorities.size()) * Math.max(1, routePriorities.size());
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
