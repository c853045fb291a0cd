package org.magnoliavane.node.dispatch;

/**
 * Holds one token of an answer and its position in the stream of the engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param position the position, which also identifies the worker and the attempt
 * @param text the text of the token
 */
public record Token(StreamPosition position, String text) {}
