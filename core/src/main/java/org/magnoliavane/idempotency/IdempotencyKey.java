package org.magnoliavane.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Holds an idempotency key. Keys are scoped to their caller, so two callers may use the same text.
 *
 * <p>Immutable and thread-safe.
 *
 * @param caller the name of the caller
 * @param text the key as the caller sent it
 */
public record IdempotencyKey(String caller, String text) {
    /** The maximum length of a key in characters. */
    public static final int MAX_LENGTH = 256;

    private static final int DIGEST_BYTES = 16;

    /**
     * Returns whether the length of the key is allowed.
     *
     * @return true for 1 to {@value #MAX_LENGTH} characters
     */
    public boolean isValid() {
        return !text.isEmpty() && text.length() <= MAX_LENGTH;
    }

    /**
     * Finds the run token at the start of the key.
     *
     * @return the token; empty when the key has none
     */
    public Optional<RunToken> findToken() {
        int slash = text.indexOf('/');
        return slash < 0 || slash == text.length() - 1 ? Optional.empty() : RunToken.parse(text.substring(0, slash));
    }

    /**
     * Gets the digest that identifies the key in the log. It does not disclose the caller and the text.
     *
     * @return 32 hexadecimal digits
     */
    public String toDigest() {
        return digest(caller.length() + ":" + caller + text);
    }

    private static String digest(String input) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(input.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must support it", e);
        }
    }
}
