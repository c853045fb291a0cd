package org.magnoliavane.node.configuration;

/**
 * Holds an accepted version of the operators' text.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the version
 * @param offset the offset up to which the configuration stream was folded
 * @param text the text
 */
public record VersionedText(long version, long offset, String text) {}
