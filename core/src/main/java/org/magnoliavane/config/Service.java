package org.magnoliavane.config;

import java.util.List;
import java.util.Optional;

/**
 * Describes a service of the configuration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, which the VM list uses in the tag {@code service}
 * @param kind the kind of the service
 * @param dependsOn the names of the services that must be available for this one to be useful
 * @param checksFencing true when its backend servers refuse orders with an outdated fencing token
 * @param model the model settings; empty for a plain service
 * @param routes the routes; empty for a model service
 */
public record Service(
        String name,
        ServiceKind kind,
        List<String> dependsOn,
        boolean checksFencing,
        Optional<ModelSettings> model,
        List<Route> routes) {}
