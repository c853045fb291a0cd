package org.magnoliavane.node.decision;

/**
 * Describes a routing or placement decision.
 *
 * <p>Immutable and thread-safe.
 *
 * @param atMillis the time of the decision, in milliseconds since 1970
 * @param request the id of the request
 * @param stage the processing step that made the decision, such as {@code route}, {@code admit}, {@code place}, {@code retry}
 * @param considered the candidates
 * @param chosen the chosen candidate or action
 * @param reason the reason for the choice
 */
public record Decision(long atMillis, String request, String stage, String considered, String chosen, String reason) {}
