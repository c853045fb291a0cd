package org.magnoliavane.node.dispatch;

/**
 * Holds one token of an answer and the place in the stream of the engine that it came from.
 *
 * <p>Immutable and thread-safe.
 *
 * @param position the position, which names worker and attempt too
 * @param text the text
 */
public record Token(StreamPosition position, String text) {}
