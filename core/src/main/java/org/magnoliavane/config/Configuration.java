package org.magnoliavane.config;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds one accepted version of the operators' text.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the version; 0 means that nothing has been published
 * @param services the services by name
 * @param classes the price classes by name
 * @param defaultClass the name of the class of requests that name none
 * @param callers the callers by name
 * @param limits the limits for every request
 * @param drainedNodes the ids of nodes that must stop accepting requests
 * @param drainedWorkers the VM ids of backend servers that must get no new work
 */
public record Configuration(
        long version,
        Map<String, Service> services,
        Map<String, PriceClass> classes,
        String defaultClass,
        Map<String, Caller> callers,
        Limits limits,
        Set<String> drainedNodes,
        Set<String> drainedWorkers) {

    private static final Configuration EMPTY =
            new Configuration(0, Map.of(), Map.of(), "", Map.of(), Limits.DEFAULT, Set.of(), Set.of());

    /**
     * Gets the configuration that holds before anything has been published.
     *
     * @return version 0, which has no services and no callers
     */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Finds the model service that serves a model.
     *
     * @param model the model name of the request
     * @return the service, or empty when none serves the model
     */
    public Optional<Service> findServiceOfModel(String model) {
        for (Service service : services.values()) {
            if (service.model().map(m -> m.models().contains(model)).orElse(false)) {
                return Optional.of(service);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the class of a request.
     *
     * @param name the class that the caller named; empty selects the default class
     * @return the class, or empty when no class has this name
     */
    public Optional<PriceClass> findClass(Optional<String> name) {
        return Optional.ofNullable(classes.get(name.orElse(defaultClass)));
    }
}
