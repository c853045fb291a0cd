package org.magnoliavane.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Holds an idempotency key within the scope of its caller: two callers may use the same text.
 *
 * <p>Immutable and thread-safe.
 *
 * @param caller the name of the caller
 * @param text the key as the caller sent it
 */
public record IdempotencyKey(String caller, String text) {
    /** The largest length of a key, in characters. */
    public static final int MAX_LENGTH = 256;

    private static final int DIGEST_BYTES = 16;

    /**
     * Says whether the key has an allowed length.
     *
     * @return true for 1 to 256 characters
     */
    public boolean isValid() {
        return !text.isEmpty() && text.length() <= MAX_LENGTH;
    }

    /**
     * Finds the run token with which the key begins.
     *
     * @return the token, or empty when the key has none
     */
    public Optional<RunToken> findToken() {
        int slash = text.indexOf('/');
        return slash < 0 || slash == text.length() - 1 ? Optional.empty() : RunToken.parse(text.substring(0, slash));
    }

    /**
     * Gets the form in which the key is named in the log, which does not disclose caller and text.
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
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
