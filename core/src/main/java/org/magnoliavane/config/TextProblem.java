package org.magnoliavane.config;

/**
 * Describes a problem of a TOML text: its location, the value found, the allowed values and a remedy.
 *
 * <p>Immutable and thread-safe.
 *
 * @param where the path of the key, such as {@code limits.max_body_bytes}, or the line of a syntax error
 * @param value the value found
 * @param allowed the allowed values
 * @param remedy what the operator can do
 */
public record TextProblem(String where, String value, String allowed, String remedy) {
    @Override
    public String toString() {
        return where + ": " + value + "; allowed: " + allowed + "; remedy: " + remedy;
    }
}
