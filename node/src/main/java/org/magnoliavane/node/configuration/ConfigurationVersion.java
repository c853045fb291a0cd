package org.magnoliavane.node.configuration;

/**
 * Holds an accepted version of the operators' configuration as TOML text.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the number of the version
 * @param offset the applied offset: the offset of the first record of the configuration stream that this version does not
 *     reflect
 * @param text the TOML text
 */
public record ConfigurationVersion(long version, long offset, String text) {}
