package org.magnoliavane.node.decision;

/**
 * Describes one routing or placement decision.
 *
 * <p>Immutable and thread-safe.
 *
 * @param atMillis the time in milliseconds since 1970
 * @param request the id of the request
 * @param stage the step that decided, such as {@code route}, {@code admit}, {@code place}, {@code retry}
 * @param considered the candidates
 * @param chosen what was chosen
 * @param reason why
 */
public record Decision(long atMillis, String request, String stage, String considered, String chosen, String reason) {}
