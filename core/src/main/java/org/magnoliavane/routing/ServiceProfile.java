package org.magnoliavane.routing;

import java.util.Optional;

/**
 * Describes a service to the router.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the service
 * @param maxConnections the maximum number of connections that one worker accepts from all nodes together
 * @param engine the model engines; empty for a plain service
 */
public record ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {}
