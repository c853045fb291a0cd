package org.magnoliavane;

import java.util.Optional;

/**
 * Identifies one run of a node: the node's id and a number drawn at random at each start.
 *
 * <p>Immutable and thread-safe. The text form is {@code <node>.<run in hexadecimal>}.
 *
 * @param node the node id; has no dot and no slash
 * @param run the number of the run
 */
public record NodeRun(String node, long run) {

    /**
     * Parses the text form.
     *
     * @param text the text, such as {@code entry-1.5f3a}
     * @return the run, or empty when the text is malformed
     */
    public static Optional<NodeRun> parse(String text) {
        int dot = text.indexOf('.');
        if (dot <= 0 || dot == text.length() - 1 || text.indexOf('/') >= 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new NodeRun(text.substring(0, dot), Long.parseUnsignedLong(text.substring(dot + 1), 16)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return node + "." + Long.toHexString(run);
    }
}
