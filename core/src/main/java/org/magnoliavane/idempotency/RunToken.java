package org.magnoliavane.idempotency;

import java.util.Optional;

import org.magnoliavane.NodeRun;

/**
 * Identifies the only node run that may execute the requests of the keys that begin with this token.
 *
 * <p>Immutable and thread-safe. The text form is {@code <node>.<run>.<issued seconds>}.
 *
 * @param run the run
 * @param issuedSeconds the time of issue by the clock of the run, in seconds
 */
public record RunToken(NodeRun run, long issuedSeconds) {

    /**
     * Parses the text form.
     *
     * @param text the text, such as {@code entry-1.5f3a.1790000000}
     * @return the token; empty when the text is malformed
     */
    public static Optional<RunToken> parse(String text) {
        int dot = text.lastIndexOf('.');
        if (dot <= 0) {
            return Optional.empty();
        }
        Optional<Long> seconds = parseSeconds(text.substring(dot + 1));
        Optional<NodeRun> run = NodeRun.parse(text.substring(0, dot));
        return run.flatMap(r -> seconds.map(s -> new RunToken(r, s)));
    }

    private static Optional<Long> parseSeconds(String text) {
        try {
            return Optional.of(Long.parseLong(text)).filter(seconds -> seconds >= 0);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return run + "." + issuedSeconds;
    }
}
