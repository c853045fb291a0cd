package org.magnoliavane.config;

/**
 * Describes one fault of a TOML text: where it is, what was found, what is allowed and what to do.
 *
 * <p>Immutable and thread-safe.
 *
 * @param where the path of the key, such as {@code limits.max_body_bytes}, or the line of a syntax error
 * @param value what was found
 * @param allowed the allowed range
 * @param remedy what the operator can do
 */
public record TextProblem(String where, String value, String allowed, String remedy) {
    @Override
    public String toString() {
        return where + ": " + value + "; allowed: " + allowed + "; remedy: " + remedy;
    }
}
