package org.magnoliavane.node.dispatch;

/**
 * Describes an attempt as its decode worker knows it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param owner the node run that drives it
 * @param caller the name of the caller that it belongs to
 * @param position the number of tokens generated so far
 */
record EngineAttempt(String owner, String caller, int position) {}
