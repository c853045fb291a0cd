package org.magnoliavane.config;

import java.util.Set;

/**
 * Describes a caller and its permissions.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name
 * @param partner the partner to which the caller belongs; capacity is shared fairly among partners
 * @param keySha256 the SHA-256 of the caller's bearer key, in lower-case hexadecimal
 * @param services the names of the services that the caller may use; an empty set allows all services
 */
public record Caller(String name, String partner, String keySha256, Set<String> services) {}
