package org.magnoliavane.routing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the digests by which API keys are kept and compared, so that no key stays in memory or appears in a log. */
public final class ApiKeyDigest {
    private ApiKeyDigest() {}

    /**
     * Computes the digest of a key.
     *
     * @param key the API key
     * @return its SHA-256, in lower-case hexadecimal
     */
    public static String compute(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform does not provide SHA-256", e);
        }
    }
}
