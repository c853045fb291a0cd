package org.magnoliavane.config;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds one accepted version of the operators' configuration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the version; 0 when nothing has been published
 * @param services the services by name
 * @param classes the price classes by name
 * @param defaultClass the name of the price class of requests that name none
 * @param callers the callers by name
 * @param limits the limits that apply to all requests
 * @param drainedNodes the ids of the nodes that must not accept requests
 * @param drainedWorkers the VM ids of the backend servers that must not get new work
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
     * Gets the configuration in force before the first publication.
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
     * @return the service; empty when no service serves the model
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
     * Finds the price class of a request.
     *
     * @param name the class that the caller named; empty for the default class
     * @return the class; empty when no class has this name
     */
    public Optional<PriceClass> findClass(Optional<String> name) {
        return Optional.ofNullable(classes.get(name.orElse(defaultClass)));
    }
}
