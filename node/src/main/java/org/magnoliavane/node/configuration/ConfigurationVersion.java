package org.magnoliavane.node.configuration;

/**
 * Holds an accepted version of the operators' text.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the version
 * @param offset the offset of the first record of the configuration stream that is not taken into account
 * @param text the text
 */
public record ConfigurationVersion(long version, long offset, String text) {}
