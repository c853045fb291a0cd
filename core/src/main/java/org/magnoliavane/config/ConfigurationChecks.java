package org.magnoliavane.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks constraints between several keys of the configuration.
 *
 * <p>Not thread-safe.
 */
final class ConfigurationChecks {
    private final List<TextProblem> problems;

    ConfigurationChecks(List<TextProblem> problems) {
        this.problems = problems;
    }

    boolean checkCount(String where, int count, int max) {
        if (count > max) {
            add(where, count + " tables", "at most " + max + " tables", "remove what is not used");
        }
        return count <= max;
    }

    void checkPrices(List<PriceClass> classes) {
        for (PriceClass lessUrgent : classes) {
            for (PriceClass moreUrgent : classes) {
                if (isLessUrgent(lessUrgent, moreUrgent) && lessUrgent.microsPerToken() > moreUrgent.microsPerToken()) {
                    add(
                            "classes." + lessUrgent.name() + ".micros_per_token",
                            String.valueOf(lessUrgent.microsPerToken()),
                            "at most " + moreUrgent.microsPerToken() + ", the price of the more urgent class "
                                    + moreUrgent.name(),
                            "lower this price, or raise that of classes." + moreUrgent.name());
                }
            }
        }
    }

    /**
     * Returns whether no target of the left class is earlier and at least one is later than that of the right class.
     * Classes of which each has an earlier target are not comparable, so the order of their prices is not checked.
     */
    private static boolean isLessUrgent(PriceClass left, PriceClass right) {
        boolean noneEarlier = left.ttftMillis() >= right.ttftMillis()
                && left.tbtMillis() >= right.tbtMillis()
                && left.maxWaitMillis() >= right.maxWaitMillis();
        boolean anyLater = left.ttftMillis() > right.ttftMillis()
                || left.tbtMillis() > right.tbtMillis()
                || left.maxWaitMillis() > right.maxWaitMillis();
        return noneEarlier && anyLater;
    }

    void checkServices(Map<String, Service> services) {
        services.values()
                .forEach(service ->
                        checkNames("services." + service.name() + ".depends_on", service.dependsOn(), services));
        checkCycles(services);
        checkModels(services);
        checkRoutes(services);
    }

    private void checkNames(String where, Iterable<String> names, Map<String, Service> services) {
        for (String name : names) {
            if (!services.containsKey(name)) {
                String remedy = NearestName.find(name, services.keySet())
                        .map(near -> "write \"" + near + "\"?")
                        .orElse("add the service, or remove the name");
                add(where, '"' + name + '"', "names of services: " + String.join(", ", services.keySet()), remedy);
            }
        }
    }

    /** Uses no recursion, because threads with a small stack must be able to check any text. */
    private void checkCycles(Map<String, Service> services) {
        Map<String, List<String>> unresolved = new LinkedHashMap<>();
        services.forEach((name, service) -> unresolved.put(name, service.dependsOn()));
        removeResolved(unresolved);
        while (!unresolved.isEmpty()) {
            List<String> cycle = findCycle(unresolved);
            add(
                    "services." + cycle.get(0) + ".depends_on",
                    "cycle " + String.join(" → ", cycle) + " → " + cycle.get(0),
                    "dependencies without a cycle",
                    "remove one of these dependencies");
            unresolved.keySet().removeAll(cycle);
            removeResolved(unresolved);
        }
    }

    private static void removeResolved(Map<String, List<String>> unresolved) {
        boolean removed = true;
        while (removed) {
            removed = unresolved.values().removeIf(names -> names.stream().noneMatch(unresolved::containsKey));
        }
    }

    /**
     * Finds a cycle. Every unresolved service depends on another unresolved one, so each path along them ends in a
     * cycle.
     */
    private static List<String> findCycle(Map<String, List<String>> unresolved) {
        List<String> path = new ArrayList<>();
        String name = unresolved.keySet().iterator().next();
        while (!path.contains(name)) {
            path.add(name);
            name = unresolved.get(name).stream()
                    .filter(unresolved::containsKey)
                    .findFirst()
                    .orElseThrow();
        }
        return path.subList(path.indexOf(name), path.size());
    }

    private void checkModels(Map<String, Service> services) {
        Map<String, String> owners = new HashMap<>();
        for (Service service : services.values()) {
            for (String model : service.model().map(ModelSettings::models).orElse(List.of())) {
                String owner = owners.putIfAbsent(model, service.name());
                if (owner != null) {
                    add(
                            "services." + service.name() + ".models",
                            '"' + model + '"',
                            "a model of one service only; services." + owner + " has it",
                            "remove it from one of them");
                }
            }
        }
    }

    private void checkRoutes(Map<String, Service> services) {
        Map<String, Route> seen = new LinkedHashMap<>();
        for (Service service : services.values()) {
            for (int i = 0; i < service.routes().size(); i++) {
                Route route = service.routes().get(i);
                if (route.method().isEmpty() || route.path().isEmpty()) {
                    continue;
                }
                String where = "services." + service.name() + ".routes[" + i + "]";
                checkOverlap(where, route, seen);
                seen.put(where, route);
            }
        }
    }

    /** Reports only the first overlap of a route, so that there is at most one such problem for each route. */
    private void checkOverlap(String where, Route route, Map<String, Route> seen) {
        for (Map.Entry<String, Route> entry : seen.entrySet()) {
            Route earlier = entry.getValue();
            // The pattern /x/* is itself a path below /x/, so overlaps of two patterns are found, too.
            if (earlier.matches(route.method(), route.path()) || route.matches(earlier.method(), earlier.path())) {
                add(
                        where,
                        route.method() + " " + route.path(),
                        "routes that do not overlap; " + entry.getKey() + " is " + earlier.method() + " "
                                + earlier.path(),
                        "change or remove one of them");
                return;
            }
        }
    }

    void checkCallers(Map<String, Caller> callers, Map<String, Service> services) {
        Map<String, String> owners = new HashMap<>();
        for (Caller caller : callers.values()) {
            String where = "callers." + caller.name();
            checkNames(where + ".services", caller.services(), services);
            String owner = caller.keySha256().isEmpty() ? null : owners.putIfAbsent(caller.keySha256(), caller.name());
            if (owner != null) {
                add(
                        where + ".key_sha256",
                        "the hash of callers." + owner,
                        "a separate key for each caller",
                        "give one of them a new key");
            }
        }
    }

    private void add(String where, String value, String allowed, String remedy) {
        problems.add(new TextProblem(where, value, allowed, remedy));
    }
}
