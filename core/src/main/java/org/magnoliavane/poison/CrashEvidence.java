package org.magnoliavane.poison;

import java.util.Map;

/**
 * Holds the crashes at which a feature was present, as nodes exchange them. Evidence from several nodes merges in any order
 * and any number of times to the same result.
 *
 * <p>Immutable by convention; the map is not copied.
 *
 * @param feature the feature
 * @param crashes the ids of the crashes, each with the weight of what contradicts it
 */
public record CrashEvidence(long feature, Map<Long, Refutation> crashes) {}
