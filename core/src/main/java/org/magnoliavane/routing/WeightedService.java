package org.magnoliavane.routing;

/**
 * Names a service and its share of a route's requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the name of the service
 * @param weight the share, relative to the other weights of the route; 0 or more
 */
public record WeightedService(String service, double weight) {}
