package org.magnoliavane.config;

/**
 * Holds an accepted version of the operators' configuration with its source.
 *
 * <p>Immutable and thread-safe.
 *
 * @param configuration the parsed configuration
 * @param text the TOML text
 */
public record AcceptedConfiguration(Configuration configuration, String text) {}
