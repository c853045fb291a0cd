package org.magnoliavane.routing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/** Computes the digests by which API keys are kept and compared, so that no key stays in memory or appears in a log. */
public final class ApiKeyDigest {
    private static final String SCHEME = "bearer ";

    private ApiKeyDigest() {}

    /**
     * Computes the digest of the key in a header {@code Authorization}.
     *
     * @param authorization the value of the header
     * @return the digest; empty if the header has no bearer key
     */
    public static Optional<String> ofAuthorization(String authorization) {
        return authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                ? Optional.of(compute(authorization.substring(SCHEME.length()).trim()))
                : Optional.empty();
    }

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
