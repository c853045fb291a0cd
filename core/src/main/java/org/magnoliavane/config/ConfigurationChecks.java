package org.magnoliavane.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks what several keys of the text must fulfil together.
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
        for (PriceClass patient : classes) {
            for (PriceClass urgent : classes) {
                if (isMorePatient(patient, urgent) && patient.microsPerToken() > urgent.microsPerToken()) {
                    add(
                            "classes." + patient.name() + ".micros_per_token",
                            String.valueOf(patient.microsPerToken()),
                            "at most " + urgent.microsPerToken() + ", the price of the more urgent class "
                                    + urgent.name(),
                            "lower this price, or raise that of classes." + urgent.name());
                }
            }
        }
    }

    /** Classes with one earlier and one later target have no order, so their prices are free. */
    private static boolean isMorePatient(PriceClass left, PriceClass right) {
        boolean noEarlier = left.ttftMillis() >= right.ttftMillis()
                && left.tbtMillis() >= right.tbtMillis()
                && left.maxWaitMillis() >= right.maxWaitMillis();
        boolean later = left.ttftMillis() > right.ttftMillis()
                || left.tbtMillis() > right.tbtMillis()
                || left.maxWaitMillis() > right.maxWaitMillis();
        return noEarlier && later;
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

    /** Works without recursion, because a thread with a small stack must be able to check any text. */
    private void checkCycles(Map<String, Service> services) {
        Map<String, List<String>> open = new LinkedHashMap<>();
        services.forEach((name, service) -> open.put(name, service.dependsOn()));
        removeResolved(open);
        while (!open.isEmpty()) {
            List<String> cycle = findCycle(open);
            add(
                    "services." + cycle.get(0) + ".depends_on",
                    "cycle " + String.join(" → ", cycle) + " → " + cycle.get(0),
                    "dependencies without a cycle",
                    "remove one of these dependencies");
            open.keySet().removeAll(cycle);
            removeResolved(open);
        }
    }

    private static void removeResolved(Map<String, List<String>> open) {
        boolean removed = true;
        while (removed) {
            removed = open.values().removeIf(names -> names.stream().noneMatch(open::containsKey));
        }
    }

    /** Every open service depends on another open one, so a walk along these ends in a cycle. */
    private static List<String> findCycle(Map<String, List<String>> open) {
        List<String> trail = new ArrayList<>();
        String name = open.keySet().iterator().next();
        while (!trail.contains(name)) {
            trail.add(name);
            name = open.get(name).stream().filter(open::containsKey).findFirst().orElseThrow();
        }
        return trail.subList(trail.indexOf(name), trail.size());
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

    /** Reports the first overlap only, so that the number of problems grows with the number of routes. */
    private void checkOverlap(String where, Route route, Map<String, Route> seen) {
        for (Map.Entry<String, Route> entry : seen.entrySet()) {
            Route earlier = entry.getValue();
            // The form with the asterisk is itself a path below the prefix.
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
                        "a key of its own for each caller",
                        "give one of them a new key");
            }
        }
    }

    private void add(String where, String value, String allowed, String remedy) {
        problems.add(new TextProblem(where, value, allowed, remedy));
    }
}
