package org.magnoliavane.routing;

import java.util.Optional;
import java.util.Set;

/**
 * Describes an organisation whose callers authenticate themselves with API keys.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name
 * @param keyDigests the digests of its API keys, as {@link ApiKeyDigest} computes them
 * @param priority the priority, which takes precedence over that of the route; 0 is the highest
 * @param usageCap the limit on what it may use; empty for no limit
 */
public record Organisation(String name, Set<String> keyDigests, int priority, Optional<UsageCap> usageCap) {}
