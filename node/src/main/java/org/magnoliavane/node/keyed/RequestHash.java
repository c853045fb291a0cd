package org.magnoliavane.node.keyed;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes the hash that tells whether two requests with the same key have the same content.
 */
final class RequestHash {
    private RequestHash() {}

    /** Computes the SHA-256 hash of service, method, path and body, in hexadecimal. */
    static String compute(PlainRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String part : new String[] {request.service(), request.method(), request.path()}) {
                digest.update(part.getBytes(StandardCharsets.UTF_8));
                digest.update((byte) 0);
            }
            return HexFormat.of().formatHex(digest.digest(request.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform does not provide SHA-256", e);
        }
    }
}
