package org.magnoliavane.config;

/**
 * Holds a version of the operators' text that was accepted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param configuration what the text says
 * @param text the text
 */
public record AcceptedConfiguration(Configuration configuration, String text) {}
