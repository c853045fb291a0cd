package org.magnoliavane.routing;

/**
 * Holds the name of a service and its share of the requests of a route.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the name of the service
 * @param weight the weight relative to the other weights of the route, at least 0
 */
public record WeightedService(String service, double weight) {}
