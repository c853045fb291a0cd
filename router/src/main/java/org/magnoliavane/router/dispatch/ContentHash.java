package org.magnoliavane.router.dispatch;

import net.openhft.hashing.LongHashFunction;

/** Computes a hash that is equal for requests that differ only in their attempt. */
final class ContentHash {
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private ContentHash() {}

    static long compute(CallerRequest request) {
        return HASH.hashBytes(request.body()) * 31 + HASH.hashChars(request.method() + " " + request.target());
    }
}
