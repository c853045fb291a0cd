package org.magnoliavane;

import java.util.Optional;

/**
 * Identifies one run of a node: the id of the node and a random number that is generated at each start of its process.
 *
 * <p>Immutable and thread-safe. The text form is {@code <node>.<run in hexadecimal>}.
 *
 * @param node the node id, without dots and slashes
 * @param run the number of the run
 */
public record NodeRun(String node, long run) {

    /**
     * Parses the text form.
     *
     * @param text the text, such as {@code entry-1.5f3a}
     * @return the run; empty when the text is malformed
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
